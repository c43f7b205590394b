/**
 * The promises to callers, asserted where the program could break them. Each check compares a few
 * fields, so that all of them stay on in production.
 */
import type { AttemptId, MonotonicMs, Ran, RequestId } from '@savorywind/model';
import { invariantCodes, type Invariant } from './consts.js';
import type { RunEvidence } from './run-evidence.js';

/** A promise is broken: a defect of the program, never of its input. */
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

const assertThat = (holds: boolean, invariant: Invariant, detail: string): void => {
  if (!holds) throw new InvariantViolation(invariant, detail);
};

/**
 * A request gets one final answer.
 *
 * @example
 * assertFinalAnswerOnce(record.contract.requestId, record.answered);
 */
export const assertFinalAnswerOnce = (requestId: RequestId, answered: boolean): void =>
  assertThat(!answered, 'finalAnswerOnce', `request ${requestId} is answered already`);

/**
 * A non-idempotent call goes out only if no earlier attempt may have run.
 *
 * @example
 * assertRunsAtMostOnce(contract.requestId, record.evidence);
 */
export const assertRunsAtMostOnce = (requestId: RequestId, evidence: RunEvidence): void =>
  assertThat(!evidence.mayHaveRun, 'runsAtMostOnce', `call ${requestId} may have run`);

/** A call with an idempotency key goes out only under its own claim. */
export const assertClaimedBeforeSend = (requestId: RequestId, claimed: boolean): void =>
  assertThat(claimed, 'claimedBeforeSend', `call ${requestId} has no claim`);

/**
 * A refusal says that a request did not run only if each attempt proved it.
 *
 * @example
 * assertRefusalIsTrue(contract.requestId, refusal.ran, record.evidence);
 */
export const assertRefusalIsTrue = (requestId: RequestId, ran: Ran, evidence: RunEvidence): void =>
  assertThat(
    ran !== 'no' || !evidence.mayHaveRun,
    'refusalIsTrue',
    `request ${requestId} is said not to have run`,
  );

/** An answer is finished only with as many tokens or bytes as its end marker states. */
export const assertAnswerIsWhole = (requestId: RequestId, sent: number, total: number): void =>
  assertThat(sent === total, 'answerIsWhole', `request ${requestId} has ${sent} of ${total}`);

/** Nothing is sent to an endpoint, and no answer finished, once the deadline has passed. */
export const assertWithinDeadline = (
  requestId: RequestId,
  nowMs: MonotonicMs,
  deadlineMs: MonotonicMs,
): void =>
  assertThat(
    nowMs < deadlineMs,
    'withinDeadline',
    `request ${requestId} is ${nowMs - deadlineMs} ms late`,
  );

/** A caller receives only what the attempt in hand of its own request receives. */
export const assertOwnAnswer = (
  requestId: RequestId,
  attemptId: AttemptId,
  current: AttemptId,
): void =>
  assertThat(
    attemptId === current,
    'ownAnswer',
    `attempt ${attemptId} reached request ${requestId}, which waits for ${current}`,
  );

/**
 * Each attempt but the first has taken a token of the retry budgets.
 *
 * @param attempts attempts before this one
 */
export const assertRetryIsBudgeted = (
  requestId: RequestId,
  attempts: number,
  tokens: number,
): void =>
  assertThat(
    tokens >= attempts,
    'retryIsBudgeted',
    `request ${requestId} has ${attempts} attempts and ${tokens} tokens`,
  );
