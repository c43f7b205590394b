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
  /** Seconds to wait until the version is in force on every live entry VM. */
  readonly wait: number | undefined;
  readonly changeId: string | undefined;
  /** The version that the change is to be based on; without it the one in force. */
  readonly base: number | undefined;
}

interface CommitAsk {
  readonly baseVersion: number;
  readonly configuration: Configuration;
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
  const names = missing.length === 0 ? 'no entry VM told its version' : missing.join(', ');
  const lines = [...committed.lines, `not yet in force on: ${names}`];
  return { json, lines, exitCode: exitCodes.notInForceEverywhere };
};

/** Commits a configuration on top of a version, and waits for it to be in force if asked to. */
export const commitConfiguration = async (
  client: EntryClient,
  io: CommandIo,
  { baseVersion, configuration, plan }: CommitAsk,
  { wait, changeId = randomUUID() }: CommitOptions,
): Promise<CommandResult> => {
  const committed = await client.commit({ changeId, baseVersion, configuration });
  if (committed.err) {
    const { hint } = committed.val;
    const name = `change id ${changeId}, base ${baseVersion}`;
    return committed.mapErr((failure) => ({ ...failure, hint: `${hint} (${name})` }));
  }
  const { version } = committed.val;
  const report: CommandReport = {
    json: { committed: true, version, baseVersion, changeId, changes: plan },
    lines: [...plan, `committed: version ${version} (change id ${changeId})`],
  };
  return Ok(wait === undefined ? report : await reportWait(client, io, report, version, wait));
};
