import type { FakeCaller } from './fake-caller.js';
import type { RunLog } from './fake-service.js';

/** Raised where a promise to callers or operators is broken; names the promise. */
export class BrokenPromise extends Error {
  constructor(
    readonly promise: string,
    detail: string,
  ) {
    super(`${promise}: ${detail}`);
  }
}

/** How often each promise was checked. */
export type CheckCounts = Map<string, number>;

const assertPromise = (
  counts: CheckCounts,
  promise: string,
  holds: boolean,
  describe: () => string,
): void => {
  counts.set(promise, (counts.get(promise) ?? 0) + 1);
  if (!holds) throw new BrokenPromise(promise, describe());
};

const describeCaller = (caller: FakeCaller): string =>
  `${caller.contract.requestId} at ${caller.vmId}.${caller.incarnation}`;

export const assertEndsInTime = (counts: CheckCounts, caller: FakeCaller): void =>
  assertPromise(
    counts,
    'every admitted request ends in time',
    caller.outcome !== undefined,
    () => `${describeCaller(caller)} has no final answer after its deadline`,
  );

export const assertOneFinalAnswer = (counts: CheckCounts, caller: FakeCaller): void =>
  assertPromise(
    counts,
    'one final answer',
    caller.finalAnswers <= 1,
    () => `${describeCaller(caller)} got ${caller.finalAnswers}`,
  );

/** A finished answer is whole; what came before a refusal is the beginning of the right answer. */
export const assertOwnAnswer = (counts: CheckCounts, caller: FakeCaller): void => {
  const { outcome } = caller;
  const expected = caller.formatExpected();
  const holds =
    outcome?.kind === 'finished' ? outcome.text === expected : expected.startsWith(caller.text);
  assertPromise(
    counts,
    'whole answer of the own request',
    holds,
    () => `${describeCaller(caller)} got "${caller.text}" in place of "${expected}"`,
  );
};

export const assertRefusalTrue = (counts: CheckCounts, caller: FakeCaller, runs: RunLog): void => {
  if (caller.outcome?.kind !== 'refused' || caller.outcome.refusal.ran !== 'no') return;
  const { requestId, digest } = caller.contract;
  assertPromise(
    counts,
    'a refusal that says not run is true',
    runs.get(digest)?.includes(requestId) !== true,
    () => `${describeCaller(caller)} ran, and was told that it did not`,
  );
};

export const assertRunsAtMostOnce = (
  counts: CheckCounts,
  runs: RunLog,
  digests: ReadonlySet<string>,
): void => {
  digests.forEach((digest) => {
    const run = runs.get(digest) ?? [];
    assertPromise(
      counts,
      'non-idempotent requests run at most once',
      run.length <= 1,
      () => `${digest} ran for ${run.join(' and ')}`,
    );
  });
};

export const assertVersionRises = (
  counts: CheckCounts,
  vmId: string,
  before: number,
  after: number,
): void =>
  assertPromise(
    counts,
    'a configuration never reverts',
    after > before,
    () => `${vmId} went from version ${before} to ${after}`,
  );

export const assertVersionInForce = (
  counts: CheckCounts,
  vmId: string,
  committed: number,
  inForce: number,
): void =>
  assertPromise(
    counts,
    'a configuration is in force everywhere',
    inForce === committed,
    () => `${vmId} has version ${inForce}, committed is ${committed}`,
  );

/** One answer to an operator: this change is committed as this version. */
export interface CommitAnswer {
  readonly changeId: string;
  readonly version: number;
}

/** Two changes never get the same version, and one change never gets two. */
export const assertCommitsDistinct = (
  counts: CheckCounts,
  answers: readonly CommitAnswer[],
): void => {
  const versions = new Map<number, string>();
  const changes = new Map<string, number>();
  answers.forEach(({ changeId, version }) => {
    const holder = versions.get(version) ?? changeId;
    const known = changes.get(changeId) ?? version;
    assertPromise(
      counts,
      'a change is committed once, as a version of its own',
      holder === changeId && known === version,
      () => `version ${version} for ${changeId}; before: ${holder}, version ${known}`,
    );
    versions.set(version, changeId);
    changes.set(changeId, version);
  });
};

export const assertMemoryFree = (counts: CheckCounts, engineId: string, usedTokens: number): void =>
  assertPromise(
    counts,
    'no engine loses memory',
    usedTokens === 0,
    () => `${engineId} still holds ${usedTokens} tokens`,
  );

export const assertDrainCutsNothing = (counts: CheckCounts, vmId: string, inFlight: number): void =>
  assertPromise(
    counts,
    'a planned stop cuts off no request',
    inFlight === 0,
    () => `${vmId} stopped with ${inFlight} in flight`,
  );
