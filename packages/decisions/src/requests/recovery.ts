import { MAX_ATTEMPTS } from '../retries/consts.js';
import type { AttemptFailure } from '../context/types.js';
import type { Attempt, RequestRecord } from './types.js';

/**
 * Action after a failed attempt: resume the stream, start another attempt, or refuse the request.
 */
export type Recovery = 'resume' | 'restart' | 'giveUp';

/**
 * How a request may be repeated. `stream`: a model request, resumed or regenerated.
 * `idempotentCall`: repeated freely. `claimedCall`: has an idempotency key, repeated only if it did
 * not run. `singleCall`: never repeated.
 */
export type Repeatability = 'stream' | 'idempotentCall' | 'claimedCall' | 'singleCall';

export const describeRepeatability = ({ contract }: RequestRecord): Repeatability => {
  if (contract.kind === 'model') return 'stream';
  if (contract.idempotency === 'idempotent') return 'idempotentCall';
  return contract.idempotencyKey === undefined ? 'singleCall' : 'claimedCall';
};

/** Whether a request may safely run more than once. */
export const isRepeatable = (record: RequestRecord): boolean => {
  const repeatability = describeRepeatability(record);
  return repeatability === 'stream' || repeatability === 'idempotentCall';
};

type RecoveryHandler = (
  record: RequestRecord,
  attempt: Attempt,
  failure: AttemptFailure,
) => Recovery;

/**
 * Whether a broken stream may be resumed: not if it has not caught up with the caller, and not if it
 * was already a resumed one and broke without progress.
 */
const isResumable = ({ answer }: RequestRecord, { mode, startCount }: Attempt): boolean =>
  !answer.isCatchingUp && (mode === 'new' || answer.sentCount > startCount);

const handlers: Readonly<Record<Repeatability, RecoveryHandler>> = {
  stream: (record, attempt, failure) =>
    failure === 'broken' && isResumable(record, attempt) ? 'resume' : 'restart',
  idempotentCall: ({ hasSentHead }) => (hasSentHead ? 'giveUp' : 'restart'),
  claimedCall: ({ ran }) => (ran === 'no' ? 'restart' : 'giveUp'),
  singleCall: () => 'giveUp',
};

/**
 * Decides what follows a failed attempt. Call it after the attempt's `ran` is merged into the
 * record. The retry budgets are checked later, when the next attempt starts.
 */
export const decideRecovery = (
  record: RequestRecord,
  attempt: Attempt,
  failure: AttemptFailure,
): Recovery => {
  if (record.attempts >= MAX_ATTEMPTS || record.hasCallerLeft) return 'giveUp';
  return handlers[describeRepeatability(record)](record, attempt, failure);
};
