import type {
  AttemptId,
  EndpointId,
  GatewayEndpoint,
  GatewayTeam,
  LogFields,
  MonotonicMs,
  Route,
  RoutedService,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import type { ReservationSet } from './memory-reservations.js';
import type { OwnWork } from './fleet-picture.js';
import type { GatewayRequest } from './types.js';

/** A request at one endpoint. */
export interface GatewayAttempt {
  readonly attemptId: AttemptId;
  readonly endpoint: GatewayEndpoint;
  /** Engines that read a part of the prompt. */
  readonly helpers: readonly GatewayEndpoint[];
  /** What the attempt weighs on the first endpoint and its helpers. */
  readonly work: readonly OwnWork[];
  readonly startedAtMs: MonotonicMs;
  silenceTimer: Timer | undefined;
  hasHead: boolean;
  /** Whether its answer waits for the caller to read. */
  isHeld: boolean;
}

/** When events of a stream were passed on. */
export interface EventTimes {
  firstAtMs: MonotonicMs | undefined;
  lastAtMs: MonotonicMs | undefined;
  longestGapMs: number;
}

/** One line of the log that is not written yet. */
export interface PlacementNote {
  readonly atMs: MonotonicMs;
  readonly fields: LogFields;
}

/** A request from its arrival to its final answer. */
export interface GatewayRecord {
  readonly request: GatewayRequest;
  readonly route: Route;
  readonly service: RoutedService;
  readonly team: GatewayTeam | undefined;
  readonly priority: number;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  /** When the caller leaves if it has not got the first event. */
  readonly patienceEndMs: MonotonicMs;
  /** Time that one idle engine takes to read the prompt; 0 for plain services. */
  readonly readMs: number;
  readonly memoryTokens: number;
  readonly isLong: boolean;
  deadlineTimer: Timer | undefined;
  /** Memory that is being reserved, or is held, on other engines. */
  reservations: ReservationSet | undefined;
  attempt: GatewayAttempt | undefined;
  /** When it was first given to an endpoint. */
  firstPlacedAtMs: MonotonicMs | undefined;
  /** Attempts of which bytes have left. */
  sends: number;
  /** Attempts that an endpoint may have begun to work on. */
  runs: number;
  /** Attempts that never left this process. */
  unsent: number;
  readonly avoided: Set<EndpointId>;
  /** Whether an endpoint was lost on the way, by its connection or its silence. */
  lostEndpoint: boolean;
  /** Whether the caller has the head of an answer. */
  headPassed: boolean;
  lastEventId: string | undefined;
  readonly times: EventTimes;
  /** What the last placement was based on, for the log. */
  basis: LogFields;
  /** Where it was given to endpoints; written to the log only if the request fails or is late. */
  readonly trail: PlacementNote[];
}

/** Whether the request may be given to another endpoint although one may have run it. */
export const mayRunAgain = ({ route }: GatewayRecord): boolean =>
  route.kind === 'idempotent' || (route.kind === 'streaming' && route.resumable);
