import { randomUUID } from 'node:crypto';
import { Ok, type Configuration } from '@savorywind/model';
import type { EntryClient } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandIo } from '../types.js';
import type { CommandReport, CommandResult } from './types.js';
import { waitInForce } from './wait-in-force.js';

const MS_PER_S = 1_000;

/** Options of the commands that commit a change. */
export interface CommitOptions {
  /** Longest time to wait for the version to be in force on all live entry VMs, in seconds. */
  readonly wait: number | undefined;
  readonly changeId: string | undefined;
  /** Version that the change is based on; by default the one in force. */
  readonly base: number | undefined;
}

interface PlannedChange {
  readonly baseVersion: number;
  readonly configuration: Configuration;
  /** One line per difference from the base version. */
  readonly plan: readonly string[];
}

const reportWait = async (
  client: EntryClient,
  io: CommandIo,
  committed: CommandReport,
  version: number,
  waitS: number,
): Promise<CommandReport> => {
  const { inForce, missing } = await waitInForce(client, io, version, waitS * MS_PER_S);
  const json = { ...committed.json, inForce, missing };
  if (inForce) {
    return { json, lines: [...committed.lines, 'in force on every live entry VM'] };
  }
  const names = missing.length === 0 ? 'no entry VM reported its version' : missing.join(', ');
  const lines = [...committed.lines, `not yet in force on: ${names}`];
  return { json, lines, exitCode: exitCodes.notInForceEverywhere };
};

/** Commits a configuration, and waits until it is in force if the options request it. */
export const commitConfiguration = async (
  client: EntryClient,
  io: CommandIo,
  { baseVersion, configuration, plan }: PlannedChange,
  { wait, changeId = randomUUID() }: CommitOptions,
): Promise<CommandResult> => {
  const committed = await client.commit({ changeId, baseVersion, configuration });
  if (committed.err) {
    const { hint } = committed.val;
    const changeDescription = `change id ${changeId}, base ${baseVersion}`;
    return committed.mapErr((failure) => ({ ...failure, hint: `${hint} (${changeDescription})` }));
  }
  const { version } = committed.val;
  const report: CommandReport = {
    json: { committed: true, version, baseVersion, changeId, changes: plan },
    lines: [...plan, `committed: version ${version} (change id ${changeId})`],
  };
  return Ok(wait === undefined ? report : await reportWait(client, io, report, version, wait));
};
