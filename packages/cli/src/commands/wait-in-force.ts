import type { NodeStatus } from '@savorywind/decisions';
import type { EntryClient } from '../client/entry-client.js';
import type { CommandIo } from '../types.js';

const ASK_AGAIN_MS = 250;

/** Whether a version is in force on every live entry VM, and where it is not. */
export interface InForceReport {
  readonly inForce: boolean;
  /** Live entry VMs that have a lower version, or have not told theirs. */
  readonly missing: readonly string[];
}

/** The highest version that anybody reports, for each entry VM that anybody holds for live. */
const listVersions = (statuses: readonly NodeStatus[]): Map<string, number> => {
  const versions = new Map<string, number>();
  const raise = (vm: string, version: number): void => {
    versions.set(vm, Math.max(versions.get(vm) ?? 0, version));
  };
  statuses.forEach(({ vm, configurationVersion, configurationVersions }) => {
    raise(vm.id, configurationVersion);
    configurationVersions.forEach((told) => raise(told.vm, told.version ?? 0));
  });
  return versions;
};

/** Waits until a version is in force on every live entry VM, or the time is over. */
export const waitInForce = async (
  client: EntryClient,
  io: CommandIo,
  version: number,
  limitMs: number,
): Promise<InForceReport> => {
  const endMs = io.readNowMs() + limitMs;
  for (;;) {
    const statuses = await client.listStatuses();
    const missing = [...listVersions(statuses)]
      .filter(([, found]) => found < version)
      .map(([vm]) => vm);
    const inForce = missing.length === 0 && statuses.length > 0;
    if (inForce || io.readNowMs() >= endMs) return { inForce, missing };
    await io.wait(ASK_AGAIN_MS);
  }
};
