import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '@savorywind/model';
import { settingsSchema, type EntrySettings } from './schema.js';

const readJsonFile = (file: string): Result<unknown, string> => {
  try {
    return Ok(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    return Err(`${file}: ${(error as Error).message}`);
  }
};

/**
 * Reads and validates a settings file.
 *
 * @example
 * const settings = loadSettings('entry.json');
 * if (settings.err) console.error(settings.val);
 *
 * @returns Err with one line per invalid setting, which names the file and the setting's path
 */
export const loadSettings = (file: string): Result<EntrySettings, string> => {
  const json = readJsonFile(file);
  if (json.err) return json;
  const parsed = settingsSchema.safeParse(json.val);
  if (parsed.success) return Ok(parsed.data);
  const lines = parsed.error.issues.map(
    ({ path, message }) => `${file}: ${path.join('.') || '(whole file)'}: ${message}`,
  );
  return Err(lines.join('\n'));
};
