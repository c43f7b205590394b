import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '@savorywind/model';
import { settingsSchema, type EntrySettings } from './schema.js';

const readJson = (file: string): Result<unknown, string> => {
  try {
    return Ok(JSON.parse(readFileSync(file, 'utf8')));
  } catch (fault) {
    return Err(`${file}: ${(fault as Error).message}`);
  }
};

/**
 * Reads and checks the settings of a process.
 *
 * @example
 * const settings = loadSettings('entry.json');
 * if (settings.err) console.error(settings.val);
 *
 * @returns Err with one line for each fault, with file and path
 */
export const loadSettings = (file: string): Result<EntrySettings, string> => {
  const json = readJson(file);
  if (json.err) return json;
  const parsed = settingsSchema.safeParse(json.val);
  if (parsed.success) return Ok(parsed.data);
  const lines = parsed.error.issues.map(
    ({ path, message }) => `${file}: ${path.join('.') || '(whole file)'}: ${message}`,
  );
  return Err(lines.join('\n'));
};
