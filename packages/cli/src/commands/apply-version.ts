import { Ok, diffConfigurations, formatChange, type Configuration } from '@savorywind/model';
import type { EntryClient } from '../client/entry-client.js';
import type { CommandIo } from '../types.js';
import { commitConfiguration, type CommitOptions } from './commit.js';
import { readBase } from './read-base.js';
import type { CommandResult } from './types.js';

/** Commits the content of an earlier version as a new version; version numbers never decrease. */
export const applyVersion = async (
  client: EntryClient,
  io: CommandIo,
  version: number,
  options: CommitOptions,
): Promise<CommandResult> => {
  const [earlier, base] = [
    await client.read<{ readonly configuration: Configuration }>(`/v1/versions?version=${version}`),
    await readBase(client, options.base),
  ];
  if (earlier.err) return earlier;
  if (base.err) return base;
  const { version: baseVersion, configuration: replaced } = base.val;
  const { configuration } = earlier.val;
  const changes = diffConfigurations(replaced, configuration);
  if (changes.length === 0) {
    const lines = [`version ${baseVersion} already has the content of version ${version}`];
    return Ok({ json: { committed: false, version: baseVersion }, lines });
  }
  const plan = [`content of version ${version}:`, ...changes.map(formatChange)];
  return commitConfiguration(client, io, { baseVersion, configuration, plan }, options);
};
