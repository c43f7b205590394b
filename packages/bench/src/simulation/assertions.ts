import type { FakeCaller } from './fake-caller.js';
import type { ExecutionLog } from './fake-service.js';

/** Thrown if a guarantee to callers or operators is violated. */
export class GuaranteeViolation extends Error {
  constructor(
    readonly guarantee: string,
    detail: string,
  ) {
    super(`${guarantee}: ${detail}`);
  }
}

/** Number of checks by name of the guarantee; the names are keys of the report of a soak run. */
export type CheckCounts = Map<string, number>;

const assertGuarantee = (
  checkCounts: CheckCounts,
  guarantee: string,
  isSatisfied: boolean,
  describe: () => string,
): void => {
  checkCounts.set(guarantee, (checkCounts.get(guarantee) ?? 0) + 1);
  if (!isSatisfied) throw new GuaranteeViolation(guarantee, describe());
};

const describeCaller = (caller: FakeCaller): string =>
  `${caller.contract.requestId} at ${caller.vmId}.${caller.incarnation}`;

/** Checks that a request has ended; to be called once its deadline has passed. */
export const assertFinishedInTime = (checkCounts: CheckCounts, caller: FakeCaller): void =>
  assertGuarantee(
    checkCounts,
    'every admitted request ends in time',
    caller.outcome !== undefined,
    () => `${describeCaller(caller)} has no final response after its deadline`,
  );

export const assertSingleFinalResponse = (checkCounts: CheckCounts, caller: FakeCaller): void =>
  assertGuarantee(
    checkCounts,
    'one final answer',
    caller.finalResponseCount <= 1,
    () => `${describeCaller(caller)} got ${caller.finalResponseCount} final responses`,
  );

/** A finished response is complete; any other is a prefix of the expected response. */
export const assertExpectedResponse = (checkCounts: CheckCounts, caller: FakeCaller): void => {
  const { outcome } = caller;
  const expected = caller.formatExpectedBody();
  const isSatisfied =
    outcome?.kind === 'finished' ? outcome.text === expected : expected.startsWith(caller.text);
  assertGuarantee(
    checkCounts,
    'whole answer of the own request',
    isSatisfied,
    () => `${describeCaller(caller)} got "${caller.text}" instead of "${expected}"`,
  );
};

/** Checks that a request was not executed if its refusal says so. */
export const assertRefusalAccurate = (
  checkCounts: CheckCounts,
  caller: FakeCaller,
  executions: ExecutionLog,
): void => {
  if (caller.outcome?.kind !== 'refused' || caller.outcome.refusal.ran !== 'no') return;
  const { requestId, digest } = caller.contract;
  assertGuarantee(
    checkCounts,
    'a refusal that says not run is true',
    executions.get(digest)?.includes(requestId) !== true,
    () => `${describeCaller(caller)} was executed, but its refusal says that it was not`,
  );
};

/** Checks that the calls with the given digests, which are not idempotent, ran at most once. */
export const assertAtMostOnceExecution = (
  checkCounts: CheckCounts,
  executions: ExecutionLog,
  digests: ReadonlySet<string>,
): void => {
  digests.forEach((digest) => {
    const requestIds = executions.get(digest) ?? [];
    assertGuarantee(
      checkCounts,
      'non-idempotent requests run at most once',
      requestIds.length <= 1,
      () => `${digest} was executed for ${requestIds.join(' and ')}`,
    );
  });
};

export const assertVersionIncreases = (
  checkCounts: CheckCounts,
  vmId: string,
  previousVersion: number,
  version: number,
): void =>
  assertGuarantee(
    checkCounts,
    'a configuration never reverts',
    version > previousVersion,
    () => `${vmId} went from version ${previousVersion} to ${version}`,
  );

export const assertVersionInForce = (
  checkCounts: CheckCounts,
  vmId: string,
  committed: number,
  inForce: number,
): void =>
  assertGuarantee(
    checkCounts,
    'a configuration is in force everywhere',
    inForce === committed,
    () => `${vmId} has version ${inForce} in force, the committed version is ${committed}`,
  );

/** A change that was reported to an operator as committed, with its version. */
export interface CommittedChange {
  readonly changeId: string;
  readonly version: number;
}

/** Two changes never have the same version, and one change never has two versions. */
export const assertUniqueVersions = (
  checkCounts: CheckCounts,
  commits: readonly CommittedChange[],
): void => {
  const versions = new Map<number, string>();
  const changes = new Map<string, number>();
  commits.forEach(({ changeId, version }) => {
    const knownChangeId = versions.get(version) ?? changeId;
    const knownVersion = changes.get(changeId) ?? version;
    assertGuarantee(
      checkCounts,
      'a change is committed once, as a version of its own',
      knownChangeId === changeId && knownVersion === version,
      () =>
        `${changeId} is version ${version}; reported before: version of ${knownChangeId}, change as version ${knownVersion}`,
    );
    versions.set(version, changeId);
    changes.set(changeId, version);
  });
};

/** Checks that an engine uses no memory; to be called once all requests have ended. */
export const assertMemoryReleased = (
  checkCounts: CheckCounts,
  engineId: string,
  usedTokens: number,
): void =>
  assertGuarantee(
    checkCounts,
    'no engine loses memory',
    usedTokens === 0,
    () => `${engineId} still uses ${usedTokens} tokens of memory`,
  );

/** Checks that an entry VM that stops after draining has no admitted request. */
export const assertDrainedWithoutRequests = (
  checkCounts: CheckCounts,
  vmId: string,
  inFlight: number,
): void =>
  assertGuarantee(
    checkCounts,
    'a planned stop cuts off no request',
    inFlight === 0,
    () => `${vmId} stopped with ${inFlight} requests in flight`,
  );
