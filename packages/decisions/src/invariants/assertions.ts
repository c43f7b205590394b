/**
 * Assertions of the guarantees to callers, called where a defect could break them. Each one
 * compares only a few fields, so that all of them are enabled in production.
 */
import type { AttemptId, MonotonicMs, Ran, RequestId } from '@savorywind/model';
import { invariantCodes, type Invariant } from './consts.js';
import type { RunTracker } from './run-tracker.js';

/**
 * Thrown if a guarantee is broken, which is always a defect of the program and never of its
 * input.
 */
export class InvariantViolation extends Error {
  readonly code: number;

  constructor(
    readonly invariant: Invariant,
    detail: string,
  ) {
    const code = invariantCodes[invariant];
    super(`${code} ${invariant}: ${detail}`);
    this.name = 'InvariantViolation';
    this.code = code;
  }
}

const assertThat = (isTrue: boolean, invariant: Invariant, detail: string): void => {
  if (!isTrue) throw new InvariantViolation(invariant, detail);
};

/**
 * Asserts that a request gets only one final response.
 *
 * @example
 * assertFinalAnswerOnce(record.contract.requestId, record.answered);
 */
export const assertFinalAnswerOnce = (requestId: RequestId, answered: boolean): void =>
  assertThat(!answered, 'finalAnswerOnce', `request ${requestId} already has a final answer`);

/**
 * Asserts that a non-idempotent call is sent only if no earlier attempt may have run.
 *
 * @example
 * assertRunsAtMostOnce(contract.requestId, record.runTracker);
 */
export const assertRunsAtMostOnce = (requestId: RequestId, runTracker: RunTracker): void =>
  assertThat(!runTracker.mayHaveRun, 'runsAtMostOnce', `call ${requestId} may already have run`);

/** Asserts that a call with an idempotency key is sent only while its claim on the key is held. */
export const assertClaimedBeforeSend = (requestId: RequestId, claimed: boolean): void =>
  assertThat(
    claimed,
    'claimedBeforeSend',
    `call ${requestId} is sent without a claim on its idempotency key`,
  );

/**
 * Asserts that a refusal reports a request as not run only if every attempt is proven not to have
 * run.
 *
 * @example
 * assertRefusalIsTrue(contract.requestId, refusal.ran, record.runTracker);
 */
export const assertRefusalIsTrue = (requestId: RequestId, ran: Ran, runTracker: RunTracker): void =>
  assertThat(
    ran !== 'no' || !runTracker.mayHaveRun,
    'refusalIsTrue',
    `request ${requestId} is refused as not run, but an attempt may have run`,
  );

/**
 * Asserts that a response is finished only with as many tokens or bytes as its end marker states.
 */
export const assertAnswerIsWhole = (requestId: RequestId, sent: number, total: number): void =>
  assertThat(
    sent === total,
    'answerIsWhole',
    `request ${requestId} is finished with ${sent} of ${total} tokens or bytes`,
  );

/** Asserts that no attempt is started and no response finished after the deadline. */
export const assertWithinDeadline = (
  requestId: RequestId,
  nowMs: MonotonicMs,
  deadlineMs: MonotonicMs,
): void =>
  assertThat(
    nowMs < deadlineMs,
    'withinDeadline',
    `request ${requestId} is ${nowMs - deadlineMs} ms past its deadline`,
  );

/** Asserts that a caller receives only data of the current attempt of its own request. */
export const assertOwnAnswer = (
  requestId: RequestId,
  attemptId: AttemptId,
  currentId: AttemptId,
): void =>
  assertThat(
    attemptId === currentId,
    'ownAnswer',
    `data of attempt ${attemptId} reached request ${requestId}, whose current attempt is ${currentId}`,
  );

/**
 * Asserts that each attempt but the first has taken a token of the retry budgets.
 *
 * @param attempts number of earlier attempts
 * @param tokens retry tokens that the request has taken
 */
export const assertRetryIsBudgeted = (
  requestId: RequestId,
  attempts: number,
  tokens: number,
): void =>
  assertThat(
    tokens >= attempts,
    'retryIsBudgeted',
    `request ${requestId} has ${attempts} earlier attempts but took ${tokens} retry tokens`,
  );
