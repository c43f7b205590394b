import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join, relative } from 'node:path';
import {
  Err,
  Ok,
  declarationsSchema,
  parseConfiguration,
  type Configuration,
  type ConfigurationFault,
  type Declarations,
  type Result,
} from '@savorywind/model';

/** A fault in declarations, with the file that it is in. */
export interface DeclarationFault extends ConfigurationFault {
  readonly file: string;
}

interface DeclarationFile {
  readonly file: string;
  readonly declarations: Declarations;
}

const SECTIONS = ['teams', 'models', 'services', 'endpoints', 'presets'] as const;
type Section = (typeof SECTIONS)[number];

const isSection = (name: string | undefined): name is Section =>
  SECTIONS.some((section) => section === name);

const WHOLE_FOLDER = '(folder)';

const listFiles = (place: string): string[] => {
  if (!statSync(place).isDirectory()) return [place];
  return readdirSync(place, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.json'))
    .sort()
    .map((name) => join(place, name));
};

const readFile = (place: string, path: string): Result<DeclarationFile, DeclarationFault[]> => {
  const file = relative(place, path) || path;
  try {
    const json: unknown = JSON.parse(readFileSync(path, 'utf8'));
    const parsed = declarationsSchema.safeParse(json);
    if (parsed.success) return Ok({ file, declarations: json as Declarations });
    // The shape of single declarations is reported by the check of the whole, with its remedies.
    if (typeof json === 'object' && json !== null && !Array.isArray(json)) {
      return Ok({ file, declarations: json });
    }
    const message = 'a file of declarations is an object with keys such as "teams"';
    return Err([{ file, path: '', message, remedy: 'Put the list under its key.' }]);
  } catch (fault) {
    const { message } = fault as Error;
    return Err([{ file, path: '', message, remedy: 'Correct the JSON, or the name of the file.' }]);
  }
};

const listItems = ({ declarations }: DeclarationFile, section: Section): readonly unknown[] => {
  const items: unknown = declarations[section];
  return Array.isArray(items) ? items : [];
};

const listDoublePresets = (files: readonly DeclarationFile[]): DeclarationFault[] =>
  files
    .filter(({ declarations }) => declarations.presetInForce !== undefined)
    .slice(1)
    .map(({ file }) => ({
      file,
      path: 'presetInForce',
      message: 'another file names the preset in force, too',
      remedy: 'Name it in one file at most, or only by "savorywind preset switch".',
    }));

const listUnknownKeys = (files: readonly DeclarationFile[]): DeclarationFault[] =>
  files.flatMap(({ file, declarations }) =>
    Object.entries(declarations)
      .filter(([key, value]) => {
        if (key === '$schema' || key === 'presetInForce') return false;
        return !isSection(key) || !Array.isArray(value);
      })
      .map(([key]) => ({
        file,
        path: key,
        message: isSection(key) ? 'not a list' : 'not a key of declarations',
        remedy: `Use lists under ${SECTIONS.join(', ')}.`,
      })),
  );

/** Finds the file that a path of the merged configuration comes from, and the path inside it. */
const locateFault = (
  files: readonly DeclarationFile[],
  fault: ConfigurationFault,
): DeclarationFault => {
  const [section, position, ...rest] = fault.path.split('.');
  if (!isSection(section) || position === undefined) {
    const holder = files.find(({ declarations }) => Object.hasOwn(declarations, section ?? ''));
    return { file: holder?.file ?? WHOLE_FOLDER, ...fault };
  }
  let index = Number(position);
  const holder = files.find((file) => {
    const { length } = listItems(file, section);
    if (index < length) return true;
    index -= length;
    return false;
  });
  const path = [section, index, ...rest].join('.');
  return { ...fault, file: holder?.file ?? WHOLE_FOLDER, path };
};

const mergeFiles = (
  files: readonly DeclarationFile[],
  presetInForce: string | undefined,
): Record<string, unknown> => {
  const merged: Record<string, unknown> = Object.fromEntries(
    SECTIONS.map((section) => [section, files.flatMap((file) => listItems(file, section))]),
  );
  const declared = files.map(({ declarations }) => declarations.presetInForce).find(Boolean);
  const [firstPreset] = files.flatMap((file) => listItems(file, 'presets')) as { id?: string }[];
  return { ...merged, presetInForce: declared ?? presetInForce ?? firstPreset?.id };
};

/**
 * Reads a folder of JSON files, or one file, merges them and checks the whole.
 *
 * @example
 * const loaded = loadDeclarations('examples/stuhlwerk', 'peak');
 * if (loaded.err) loaded.val.forEach(({ file, path, message }) => console.error(file, path, message));
 *
 * @param presetInForce the preset that stays in force where the files name none; without it the
 *   first one declared
 */
export const loadDeclarations = (
  place: string,
  presetInForce?: string,
): Result<Configuration, readonly DeclarationFault[]> => {
  let paths: string[];
  try {
    paths = listFiles(place);
  } catch (fault) {
    const { message } = fault as Error;
    return Err([{ file: place, path: '', message, remedy: 'Name a folder or a JSON file.' }]);
  }
  const read = paths.map((path) => readFile(place, path));
  const broken = read.flatMap((result) => (result.err ? result.val : []));
  if (broken.length > 0) return Err(broken);
  const files = read.flatMap((result) => (result.ok ? [result.val] : []));
  const faults = [...listUnknownKeys(files), ...listDoublePresets(files)];
  if (faults.length > 0) return Err(faults);
  const parsed = parseConfiguration(mergeFiles(files, presetInForce));
  if (parsed.ok) return parsed;
  return Err(parsed.val.map((fault) => locateFault(files, fault)));
};
