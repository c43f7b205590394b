import type {
  AttemptId,
  Configuration,
  Endpoint,
  ModelContract,
  MonotonicMs,
  RequestContract,
  ServiceContract,
} from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';

/** Where a request is on its way from arrival to its final answer. */
export type RequestState = 'queued' | 'claiming' | 'connecting' | 'streaming';

/** A request in flight. Removed from the table the moment its final answer is decided. */
export interface RequestRecord<Contract extends RequestContract = RequestContract> {
  readonly contract: Contract;
  /** What was in force when the request was admitted; it stays so for this request. */
  readonly configuration: Configuration | undefined;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  readonly deadlineTimer: Timer;
  state: RequestState;
  endpoint: Endpoint | undefined;
  attemptId: AttemptId | undefined;
  /** Tokens or bytes passed on to the caller. */
  sentCount: number;
  headSent: boolean;
}

export type ModelRecord = RequestRecord<ModelContract>;
export type ServiceRecord = RequestRecord<ServiceContract>;
