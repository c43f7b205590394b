import { Err, Ok, type Configuration, type Result } from '@savorywind/model';
import type { CommandFailure } from '../client/entry-client.js';
import { loadDeclarations, type DeclarationFault } from '../declarations/load-declarations.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

const formatFault = ({ file, path, message, remedy }: DeclarationFault): string =>
  `${file}: ${path === '' ? '(whole file)' : path}: ${message}. ${remedy}`;

/** Loads and validates declarations; the failure lists all faults. */
export const loadValidDeclarations = (
  path: string,
  presetInForce?: string,
): Result<Configuration, CommandFailure> => {
  const loaded = loadDeclarations(path, presetInForce);
  if (loaded.ok) return loaded;
  return Err({
    exitCode: exitCodes.invalidDeclarations,
    message: loaded.val.map(formatFault).join('\n'),
    hint: 'Nothing was changed.',
  });
};

/** Checks declarations without contacting an entry VM. */
export const checkDeclarations = (path: string): CommandResult => {
  const loaded = loadValidDeclarations(path);
  if (loaded.err) return loaded;
  const { teams, models, services, endpoints, presets } = loaded.val;
  const counts = {
    teams: teams.length,
    models: models.length,
    services: services.length,
    endpoints: endpoints.length,
    presets: presets.length,
  };
  const formattedCounts = Object.entries(counts).map(([name, count]) => `${count} ${name}`);
  return Ok({
    json: { valid: true, ...counts },
    lines: [`${path}: valid: ${formattedCounts.join(', ')}`],
  });
};
