import { Ok } from '@savorywind/model';
import type { EntryClient } from '../client/entry-client.js';
import type { CommandIo } from '../types.js';
import { loadValidDeclarations } from './check.js';
import { commitConfiguration, type CommitOptions } from './commit.js';
import { checkBase, createPlan, formatPlan } from './plan.js';
import { readBase } from './read-base.js';
import type { CommandResult } from './types.js';

export interface ApplyOptions extends CommitOptions {
  /** Directory or file with the declarations. */
  readonly path: string;
}

/**
 * Sends the same change again after a lost response. It is built from its original base version, not
 * from the version that is in force now.
 */
const retryApply = async (
  client: EntryClient,
  io: CommandIo,
  options: ApplyOptions & { readonly base: number },
): Promise<CommandResult> => {
  const read = await readBase(client, options.base);
  if (read.err) return read;
  const preset = read.val.configuration?.presetInForce;
  const loaded = loadValidDeclarations(options.path, preset);
  if (loaded.err) return loaded;
  const change = { baseVersion: options.base, configuration: loaded.val, plan: [] };
  return commitConfiguration(client, io, change, options);
};

/** Commits declarations as the next version of the configuration. */
export const applyDeclarations = async (
  client: EntryClient,
  io: CommandIo,
  options: ApplyOptions,
): Promise<CommandResult> => {
  const { base } = options;
  if (options.changeId !== undefined && base !== undefined) {
    return retryApply(client, io, { ...options, base });
  }
  const planned = await createPlan(client, options.path);
  if (planned.err) return planned;
  const checked = checkBase(planned.val, base);
  if (checked.err) return checked;
  const plan = checked.val;
  const lines = formatPlan(plan);
  if (plan.changes.length === 0) {
    return Ok({ json: { committed: false, version: plan.baseVersion, changes: [] }, lines });
  }
  return commitConfiguration(client, io, { ...plan, plan: lines }, options);
};
