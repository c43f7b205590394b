import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { Err, Ok } from '@savorywind/model';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

/** What a module must export whose settings files are checked. */
export interface SettingsAdapter {
  /** @returns a line for each fault: field, value and remedy; none where the file is valid */
  checkSettings(text: string): readonly string[];
}

const isPath = (module: string): boolean => module.startsWith('.') || module.startsWith('/');

const loadAdapter = async (module: string): Promise<Partial<SettingsAdapter>> => {
  const place = isPath(module) ? pathToFileURL(resolve(module)).href : module;
  return (await import(place)) as Partial<SettingsAdapter>;
};

const fail = (message: string, hint: string): CommandResult =>
  Err({ exitCode: exitCodes.usage, message, hint });

const checkFile = (file: string, { checkSettings }: SettingsAdapter): CommandResult => {
  const faults = checkSettings(readFileSync(file, 'utf8'));
  if (faults.length === 0) return Ok({ json: { valid: true }, lines: [`${file}: valid`] });
  return Err({
    exitCode: exitCodes.invalidDeclarations,
    message: faults.map((fault) => `${file}: ${fault}`).join('\n'),
    hint: 'Nothing was changed.',
  });
};

/**
 * Checks a settings file in the format of a platform's adapter, without starting anything.
 *
 * @param module name of a package, or path of a file, that exports `checkSettings`
 */
export const checkAdapterSettings = async (
  file: string,
  module: string,
): Promise<CommandResult> => {
  try {
    const adapter = await loadAdapter(module);
    if (adapter.checkSettings === undefined) {
      return fail(`${module}: exports no checkSettings`, 'Name the adapter of the platform.');
    }
    return checkFile(file, adapter as SettingsAdapter);
  } catch (fault) {
    return fail((fault as Error).message, 'Name a file and an adapter that can be read.');
  }
};
