import { Err, Ok } from '@savorywind/model';
import type { EntryClient } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandIo } from '../types.js';
import { commitConfiguration, type CommitOptions } from './commit.js';
import { readBase } from './read-base.js';
import type { CommandResult } from './types.js';

/** Commits a version that differs from its base only in the preset in force. */
export const changePreset = async (
  client: EntryClient,
  io: CommandIo,
  preset: string,
  options: CommitOptions,
): Promise<CommandResult> => {
  const read = await readBase(client, options.base);
  if (read.err) return read;
  const { version, configuration } = read.val;
  const names = configuration?.presets.map(({ id }) => id) ?? [];
  if (configuration === undefined || !names.includes(preset)) {
    return Err({
      exitCode: exitCodes.usage,
      message: `No preset "${preset}" is in the configuration.`,
      hint: names.length === 0 ? 'Run apply first.' : `There are: ${names.join(', ')}.`,
    });
  }
  if (configuration.presetInForce === preset) {
    const lines = [`preset ${preset} is already in force, version ${version}`];
    return Ok({ json: { committed: false, version, preset }, lines });
  }
  const plan = [`~ preset in force: ${configuration.presetInForce} -> ${preset}`];
  const changed = { ...configuration, presetInForce: preset };
  const change = { baseVersion: version, configuration: changed, plan };
  return commitConfiguration(client, io, change, options);
};
