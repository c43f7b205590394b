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
import type { RunEvidence } from '../invariants/run-evidence.js';
import type { AnswerRecorder } from '../ledger/answer-recorder.js';
import type { Claim } from '../ledger/types.js';
import type { NodeEffect } from '../seam/types.js';
import type { Timer } from '../timers/timer-queue.js';
import type { AnswerProgress } from './answer-progress.js';

/**
 * Where a request is on its way from arrival to its final answer. `resuming`: waits to ask the same
 * engine for the rest of its stream; `backingOff`: waits to be placed again.
 */
export type RequestState =
  'queued' | 'claiming' | 'connecting' | 'streaming' | 'resuming' | 'backingOff';

export type AttemptMode = Extract<NodeEffect, { readonly kind: 'attempt.start' }>['mode'];

/** One try at one endpoint. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly endpoint: Endpoint;
  readonly streamId: string;
  readonly priority: number;
  readonly mode: AttemptMode;
  /** Tokens or bytes that the caller had when the attempt started. */
  readonly startCount: number;
  headReceived: boolean;
}

/** A request in flight. Removed from the table the moment its final answer is decided. */
export interface RequestRecord<Contract extends RequestContract = RequestContract> {
  readonly contract: Contract;
  /** What was in force when the request was admitted; it stays so for this request. */
  readonly configuration: Configuration | undefined;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  readonly deadlineTimer: Timer;
  readonly answer: AnswerProgress;
  readonly evidence: RunEvidence;
  /** Endpoints on which this request failed. */
  readonly avoided: Set<EndpointId>;
  state: RequestState;
  /** What the attempts that have ended say about whether the request ran. */
  ran: Ran;
  attempt: Attempt | undefined;
  /** Broken attempt whose stream is about to be resumed. */
  broken: Attempt | undefined;
  attempts: number;
  /** Pauses before another attempt, those included that the retry budgets then refused. */
  retries: number;
  /** Tokens taken from the retry budgets. */
  retryTokens: number;
  retryTimer: Timer | undefined;
  claim: Claim | undefined;
  recorder: AnswerRecorder | undefined;
  headSent: boolean;
  callerGone: boolean;
  answered: boolean;
}

export type ModelRecord = RequestRecord<ModelContract>;
export type ServiceRecord = RequestRecord<ServiceContract>;
