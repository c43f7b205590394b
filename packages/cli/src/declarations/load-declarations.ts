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

/** A validation error in declarations, with the file that contains it. */
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

/** File name for faults that belong to no single file. */
const WHOLE_DIRECTORY = '(folder)';

const listFiles = (root: string): string[] => {
  if (!statSync(root).isDirectory()) return [root];
  return readdirSync(root, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.json'))
    .sort()
    .map((name) => join(root, name));
};

const readFile = (root: string, path: string): Result<DeclarationFile, DeclarationFault[]> => {
  const file = relative(root, path) || path;
  try {
    const json: unknown = JSON.parse(readFileSync(path, 'utf8'));
    const parsed = declarationsSchema.safeParse(json);
    if (parsed.success) return Ok({ file, declarations: json as Declarations });
    // Invalid declarations are reported by the check of the merged configuration, with remedies.
    if (typeof json === 'object' && json !== null && !Array.isArray(json)) {
      return Ok({ file, declarations: json });
    }
    const message = 'a file of declarations is an object with keys such as "teams"';
    return Err([{ file, path: '', message, remedy: 'Put the list under its key.' }]);
  } catch (error) {
    const { message } = error as Error;
    return Err([{ file, path: '', message, remedy: 'Correct the JSON, or the name of the file.' }]);
  }
};

const listItems = ({ declarations }: DeclarationFile, section: Section): readonly unknown[] => {
  const items: unknown = declarations[section];
  return Array.isArray(items) ? items : [];
};

const listDuplicatePresets = (files: readonly DeclarationFile[]): DeclarationFault[] =>
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

/** Maps a fault's path in the merged configuration to its file and the path inside that file. */
const locateFault = (
  files: readonly DeclarationFile[],
  fault: ConfigurationFault,
): DeclarationFault => {
  const [section, position, ...rest] = fault.path.split('.');
  if (!isSection(section) || position === undefined) {
    const source = files.find(({ declarations }) => Object.hasOwn(declarations, section ?? ''));
    return { file: source?.file ?? WHOLE_DIRECTORY, ...fault };
  }
  let index = Number(position);
  const source = files.find((file) => {
    const { length } = listItems(file, section);
    if (index < length) return true;
    index -= length;
    return false;
  });
  const path = [section, index, ...rest].join('.');
  return { ...fault, file: source?.file ?? WHOLE_DIRECTORY, path };
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
 * Reads a directory of JSON files, or one file, and validates the merged configuration.
 *
 * @example
 * const loaded = loadDeclarations('examples/stuhlwerk', 'peak');
 * if (loaded.err) loaded.val.forEach(({ file, path, message }) => console.error(file, path, message));
 *
 * @param presetInForce preset that stays in force if the files name none; otherwise the first one
 */
export const loadDeclarations = (
  root: string,
  presetInForce?: string,
): Result<Configuration, readonly DeclarationFault[]> => {
  let paths: string[];
  try {
    paths = listFiles(root);
  } catch (error) {
    const { message } = error as Error;
    return Err([{ file: root, path: '', message, remedy: 'Name a folder or a JSON file.' }]);
  }
  const results = paths.map((path) => readFile(root, path));
  const readFaults = results.flatMap((result) => (result.err ? result.val : []));
  if (readFaults.length > 0) return Err(readFaults);
  const files = results.flatMap((result) => (result.ok ? [result.val] : []));
  const faults = [...listUnknownKeys(files), ...listDuplicatePresets(files)];
  if (faults.length > 0) return Err(faults);
  const parsed = parseConfiguration(mergeFiles(files, presetInForce));
  if (parsed.ok) return parsed;
  return Err(parsed.val.map((fault) => locateFault(files, fault)));
};
