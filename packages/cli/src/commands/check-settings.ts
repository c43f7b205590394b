import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { Err, Ok } from '@savorywind/model';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

/** Exports that a module must have to check settings files. */
export interface SettingsAdapter {
  /** @returns one line per invalid setting, with field, value and remedy; none if all are valid */
  checkSettings(text: string): readonly string[];
}

const isPath = (module: string): boolean => module.startsWith('.') || module.startsWith('/');

const loadAdapter = async (module: string): Promise<Partial<SettingsAdapter>> => {
  const specifier = isPath(module) ? pathToFileURL(resolve(module)).href : module;
  return (await import(specifier)) as Partial<SettingsAdapter>;
};

const createUsageFailure = (message: string, hint: string): CommandResult =>
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
 * Checks a settings file with the adapter that reads it, without starting a gateway.
 *
 * @param module package name or file path of a module that exports `checkSettings`
 */
export const checkAdapterSettings = async (
  file: string,
  module: string,
): Promise<CommandResult> => {
  try {
    const adapter = await loadAdapter(module);
    if (adapter.checkSettings === undefined) {
      return createUsageFailure(
        `${module}: exports no checkSettings`,
        'Name the adapter of the platform.',
      );
    }
    return checkFile(file, adapter as SettingsAdapter);
  } catch (error) {
    return createUsageFailure(
      (error as Error).message,
      'Name a file and an adapter that can be read.',
    );
  }
};
