import type {
  AttemptId,
  Configuration,
  Endpoint,
  EndpointId,
  ModelContract,
  MonotonicMs,
  Ran,
  RequestContract,
  ServiceContract,
} from '@savorywind/model';
import type { RunTracker } from '../invariants/run-tracker.js';
import type { AnswerRecorder } from '../ledger/answer-recorder.js';
import type { Claim } from '../ledger/types.js';
import type { NodeEffect } from '../context/types.js';
import type { Timer } from '../timers/timer-queue.js';
import type { AnswerProgress } from './answer-progress.js';

/**
 * State of a request between arrival and final answer. `resuming`: waits for a backoff before it
 * requests the rest of its stream from the same engine. `backingOff`: waits for a backoff before
 * another attempt.
 */
export type RequestState =
  'queued' | 'claiming' | 'connecting' | 'streaming' | 'resuming' | 'backingOff';

/** Whether an attempt requests a new answer or the rest of a broken stream. */
export type AttemptMode = Extract<NodeEffect, { readonly kind: 'attempt.start' }>['mode'];

/** One attempt to serve a request at one endpoint. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly endpoint: Endpoint;
  readonly streamId: string;
  readonly priority: number;
  readonly mode: AttemptMode;
  /** Tokens or bytes that the caller had received when the attempt started. */
  readonly startCount: number;
  hasReceivedHead: boolean;
}

/** A request in flight. Removed from the table as soon as its final answer is decided. */
export interface RequestRecord<Contract extends RequestContract = RequestContract> {
  readonly contract: Contract;
  /** Configuration in force when the request was admitted. */
  readonly configuration: Configuration | undefined;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  readonly deadlineTimer: Timer;
  readonly answer: AnswerProgress;
  readonly runTracker: RunTracker;
  /** Endpoints at which an attempt of this request failed. */
  readonly failedEndpoints: Set<EndpointId>;
  state: RequestState;
  /** Whether the request ran, as far as the attempts that have ended show. */
  ran: Ran;
  attempt: Attempt | undefined;
  /** Broken attempt whose stream is to be resumed. */
  brokenAttempt: Attempt | undefined;
  attempts: number;
  /** Number of backoffs, including those after which the retry budgets refused the attempt. */
  retries: number;
  /** Tokens taken from the retry budgets. */
  retryTokens: number;
  retryTimer: Timer | undefined;
  claim: Claim | undefined;
  /** Records the answer of a claimed call. */
  recorder: AnswerRecorder | undefined;
  hasSentHead: boolean;
  hasCallerLeft: boolean;
  hasFinalAnswer: boolean;
}

export type ModelRecord = RequestRecord<ModelContract>;
export type ServiceRecord = RequestRecord<ServiceContract>;
