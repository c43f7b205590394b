import type { NodeStatus } from '@savorywind/decisions';
import type { EntryClient } from '../client/entry-client.js';
import type { CommandIo } from '../types.js';

/** Time between two queries of the entry VMs' status, in milliseconds. */
const POLL_INTERVAL_MS = 250;

/** Whether a version is in force on all live entry VMs, and on which ones it is not. */
export interface InForceReport {
  readonly inForce: boolean;
  /** Live entry VMs that have a lower version or have not reported one. */
  readonly missing: readonly string[];
}

/** Finds the highest version that any status reports for each entry VM; 0 if none reports one. */
const listHighestVersions = (statuses: readonly NodeStatus[]): Map<string, number> => {
  const versions = new Map<string, number>();
  const raise = (vm: string, version: number): void => {
    versions.set(vm, Math.max(versions.get(vm) ?? 0, version));
  };
  statuses.forEach(({ vm, configurationVersion, configurationVersions }) => {
    raise(vm.id, configurationVersion);
    configurationVersions.forEach((reported) => raise(reported.vm, reported.version ?? 0));
  });
  return versions;
};

/** Waits until a version is in force on all live entry VMs or the timeout has passed. */
export const waitInForce = async (
  client: EntryClient,
  io: CommandIo,
  version: number,
  timeoutMs: number,
): Promise<InForceReport> => {
  const deadlineMs = io.readNowMs() + timeoutMs;
  for (;;) {
    const statuses = await client.listStatuses();
    const missing = [...listHighestVersions(statuses)]
      .filter(([, current]) => current < version)
      .map(([vm]) => vm);
    const inForce = missing.length === 0 && statuses.length > 0;
    if (inForce || io.readNowMs() >= deadlineMs) return { inForce, missing };
    await io.wait(POLL_INTERVAL_MS);
  }
};
