import type {
  AttemptId,
  EndpointId,
  EntryVmId,
  GatewayEndpoint,
  GatewayPeer,
  GatewayTeam,
  LogFields,
  MonotonicMs,
  Route,
  RoutedService,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import type { ForwardedFrom, PeerRefusal } from './forwarding/types.js';
import type { ReservationSet } from './memory-reservations.js';
import type { LocalWork } from './fleet-load-tracker.js';
import type { EndpointProcess, GatewayRequest, GatewayResponseHead } from './types.js';

/** State that each attempt has. */
interface AttemptState {
  readonly attemptId: AttemptId;
  readonly startedAtMs: MonotonicMs;
  stallTimer: Timer | undefined;
  /** Head of the response; undefined until it has arrived. */
  head: GatewayResponseHead | undefined;
  /** Whether the response is paused because the caller reads slowly. */
  isPaused: boolean;
  /** When another event would prove that the request does no harm; undefined before the first event. */
  provesSoundAtMs: MonotonicMs | undefined;
}

/** One attempt to have a request served by an endpoint. */
export interface EndpointAttempt extends AttemptState {
  readonly target: 'endpoint';
  readonly endpoint: GatewayEndpoint;
  /** Engines that prefill a part of the prompt. */
  readonly helpers: readonly GatewayEndpoint[];
  /** Work of the attempt on the endpoint, and after it on the helpers. */
  readonly work: readonly LocalWork[];
}

/** One attempt to have a request served through a peer. */
export interface PeerAttempt extends AttemptState {
  readonly target: 'peer';
  readonly peer: GatewayPeer;
}

export type GatewayAttempt = EndpointAttempt | PeerAttempt;

/** Names the endpoint or the peer to which an attempt was sent. */
export const describeTarget = (attempt: GatewayAttempt): string =>
  attempt.target === 'peer' ? attempt.peer.id : attempt.endpoint.id;

/** When events of a stream were forwarded to the caller. */
export interface EventTimes {
  firstAtMs: MonotonicMs | undefined;
  lastAtMs: MonotonicMs | undefined;
  longestGapMs: number;
}

/** A log event for a placement, kept until the request fails or is late. */
export interface PlacementLogEntry {
  readonly atMs: MonotonicMs;
  readonly fields: LogFields;
}

/** State of a request from its arrival to its final response. */
export interface GatewayRecord {
  readonly request: GatewayRequest;
  readonly route: Route;
  readonly service: RoutedService;
  readonly team: GatewayTeam | undefined;
  readonly priority: number;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  /**
   * When the caller is expected to disconnect if it has not received the first event; equal to the
   * deadline for routes without events.
   */
  readonly firstEventDeadlineMs: MonotonicMs;
  /** Prefill time of the prompt on one idle engine; 0 for plain services. */
  readonly prefillMs: number;
  /** Prompt and output tokens, which use KV cache. */
  readonly memoryTokens: number;
  /** Whether the prefill takes too long for one pass beside other streams. */
  readonly isLong: boolean;
  deadlineTimer: Timer | undefined;
  /** Reservations on helpers that are requested or held. */
  reservations: ReservationSet | undefined;
  attempt: GatewayAttempt | undefined;
  /** When the first attempt started. */
  firstPlacedAtMs: MonotonicMs | undefined;
  /** Attempts that were started. */
  sends: number;
  /** Attempts that an endpoint may have executed. */
  runs: number;
  /** Attempts that failed before any byte of the request left this process. */
  unsent: number;
  /** Attempts that could not be put into bytes. */
  unsendable: number;
  /** Endpoint of the first of these, until it is known whether the request or the endpoint is the cause. */
  unsendableAt: EndpointProcess | undefined;
  /** Endpoints to which no connection could be opened for the request. */
  connectFailures: number;
  /** Endpoints at which an attempt was started. */
  readonly attemptedEndpoints: Set<EndpointId>;
  /** Endpoints that failed this request; they get it again only if there is no other. */
  readonly failedEndpoints: Set<EndpointId>;
  /** Undefined if the request came from a caller itself. */
  readonly forwardedFrom: ForwardedFrom | undefined;
  /** How often it was forwarded to a peer. */
  forwards: number;
  readonly triedPeers: Set<EntryVmId>;
  /** Peers that did not take it. */
  readonly refusedPeers: Set<EntryVmId>;
  /** The last refusal of a peer. */
  peerRefusal: PeerRefusal | undefined;
  /** Whether its endpoint is silent for too long, and only the peer that forwarded it may retry it. */
  isStalled: boolean;
  /** Whether the connection to an endpoint of this request was lost, or the endpoint stalled. */
  hasLostEndpoint: boolean;
  /** Whether the head of a response was forwarded to the caller. */
  hasForwardedHead: boolean;
  /**
   * Whether another endpoint can continue the response: nothing of it was forwarded, or a stream whose
   * last forwarded event has an id.
   */
  isContinuable: boolean;
  lastEventId: string | undefined;
  /** Whether an answer to it was complete or has gone on for so long that it does no harm to endpoints. */
  isSound: boolean;
  /** Whether it was let through although something that it has in common with others is blocked. */
  isTrial: boolean;
  readonly times: EventTimes;
  /** Estimates behind the last placement, as log fields. */
  placementFields: LogFields;
  /** Placements so far; logged only if the request fails or is late. */
  readonly placements: PlacementLogEntry[];
}

/** Whether the request may be sent again although an endpoint may have executed it. */
export const mayRerun = ({ route }: GatewayRecord): boolean =>
  route.kind === 'idempotent' || (route.kind === 'streaming' && route.resumable);
