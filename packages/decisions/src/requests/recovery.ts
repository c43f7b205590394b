import { MAX_ATTEMPTS } from '../retries/consts.js';
import type { AttemptFailure } from '../seam/types.js';
import type { Attempt, RequestRecord } from './types.js';

/** What follows a failed attempt: the rest of the same stream, another attempt, or the end. */
export type Recovery = 'resume' | 'restart' | 'giveUp';

/** How far a request may be repeated. */
export type Repeatability = 'stream' | 'idempotentCall' | 'claimedCall' | 'singleCall';

export const describeRepeatability = ({ contract }: RequestRecord): Repeatability => {
  if (contract.kind === 'model') return 'stream';
  if (contract.idempotency === 'idempotent') return 'idempotentCall';
  return contract.idempotencyKey === undefined ? 'singleCall' : 'claimedCall';
};

/** Whether a second run does no harm. */
export const isRepeatable = (record: RequestRecord): boolean => {
  const repeatability = describeRepeatability(record);
  return repeatability === 'stream' || repeatability === 'idempotentCall';
};

type RecoveryHandler = (
  record: RequestRecord,
  attempt: Attempt,
  failure: AttemptFailure,
) => Recovery;

/** A resumed stream that broke without progress is not worth asking for once more. */
const isResumable = ({ answer }: RequestRecord, { mode, startCount }: Attempt): boolean =>
  !answer.isRepeating && (mode === 'new' || answer.sentCount > startCount);

const handlers: Readonly<Record<Repeatability, RecoveryHandler>> = {
  stream: (record, attempt, failure) =>
    failure === 'broken' && isResumable(record, attempt) ? 'resume' : 'restart',
  idempotentCall: ({ headSent }) => (headSent ? 'giveUp' : 'restart'),
  claimedCall: ({ ran }) => (ran === 'no' ? 'restart' : 'giveUp'),
  singleCall: () => 'giveUp',
};

/**
 * Decides what follows a failed attempt, once what it says about `ran` is merged into the record. The
 * retry budgets still have to permit it.
 */
export const decideRecovery = (
  record: RequestRecord,
  attempt: Attempt,
  failure: AttemptFailure,
): Recovery => {
  if (record.attempts >= MAX_ATTEMPTS || record.callerGone) return 'giveUp';
  return handlers[describeRepeatability(record)](record, attempt, failure);
};
