import {
  Err,
  Ok,
  diffConfigurations,
  formatChange,
  type Configuration,
  type DeclarationChange,
  type Result,
} from '@savorywind/model';
import type { CommandFailure, EntryClient } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import { loadValidDeclarations } from './check.js';
import type { CommandResult } from './types.js';

/** Changes that applying declarations would make to a base version. */
export interface Plan {
  readonly baseVersion: number;
  readonly configuration: Configuration;
  readonly changes: readonly DeclarationChange[];
}

/** Compares declarations with the configuration in force. */
export const createPlan = async (
  client: EntryClient,
  path: string,
): Promise<Result<Plan, CommandFailure>> => {
  const parsed = loadValidDeclarations(path);
  if (parsed.err) return parsed;
  const read = await client.readHead();
  if (read.err) return read;
  const { head } = read.val;
  const loaded = loadValidDeclarations(path, head?.configuration.presetInForce);
  if (loaded.err) return loaded;
  return Ok({
    baseVersion: head?.version ?? 0,
    configuration: loaded.val,
    changes: diffConfigurations(head?.configuration, loaded.val),
  });
};

export const formatPlan = ({ baseVersion, changes }: Plan): string[] => [
  `on version ${baseVersion}: ${changes.length === 0 ? 'nothing to change' : `${changes.length} changes`}`,
  ...changes.map(formatChange),
];

/** Fails if the plan is not based on the version that the operator expects. */
export const checkBase = (plan: Plan, base: number | undefined): Result<Plan, CommandFailure> => {
  if (base === undefined || base === plan.baseVersion) return Ok(plan);
  return Err({
    exitCode: exitCodes.serializationFailure,
    message: `Version ${plan.baseVersion} is in force, not ${base}.`,
    hint: 'Run plan again, then apply.',
    committed: 'no',
    version: plan.baseVersion,
  });
};

/** Shows what apply would change, without changing anything. */
export const describePlan = async (client: EntryClient, path: string): Promise<CommandResult> => {
  const plan = await createPlan(client, path);
  if (plan.err) return plan;
  const { baseVersion, changes } = plan.val;
  return Ok({ json: { baseVersion, changes }, lines: formatPlan(plan.val) });
};
