import type { Configuration } from './schema.js';

export type ConfigurationSection = 'teams' | 'models' | 'services' | 'endpoints' | 'presets';

/** One changed value in a declaration. */
export interface FieldChange {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** One declaration that differs between two configurations. */
export interface DeclarationChange {
  readonly kind: 'added' | 'removed' | 'changed';
  readonly section: ConfigurationSection | 'presetInForce';
  readonly id: string;
  /** Changed values; empty if the whole declaration was added or removed. */
  readonly fields: readonly FieldChange[];
}

interface Declaration {
  readonly id: string;
}

export const CONFIGURATION_SECTIONS: readonly ConfigurationSection[] = [
  'teams',
  'models',
  'services',
  'endpoints',
  'presets',
];

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const listFieldChanges = (before: unknown, after: unknown, path: string): FieldChange[] => {
  if (isRecord(before) && isRecord(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return names.flatMap((name) =>
      listFieldChanges(before[name], after[name], path === '' ? name : `${path}.${name}`),
    );
  }
  const equal = JSON.stringify(before) === JSON.stringify(after);
  return equal ? [] : [{ path, before, after }];
};

const listSectionChanges = (
  section: ConfigurationSection,
  before: readonly Declaration[],
  after: readonly Declaration[],
): DeclarationChange[] => {
  const beforeById = new Map(before.map((declaration) => [declaration.id, declaration]));
  const afterIds = new Set(after.map(({ id }) => id));
  const changes = after.flatMap((declaration): DeclarationChange[] => {
    const { id } = declaration;
    const found = beforeById.get(id);
    if (found === undefined) return [{ kind: 'added', section, id, fields: [] }];
    const fields = listFieldChanges(found, declaration, '');
    return fields.length === 0 ? [] : [{ kind: 'changed', section, id, fields }];
  });
  const removed = before
    .filter(({ id }) => !afterIds.has(id))
    .map(({ id }): DeclarationChange => ({ kind: 'removed', section, id, fields: [] }));
  return [...changes, ...removed];
};

/**
 * Lists the declarations that differ between two configurations.
 *
 * @example
 * diffConfigurations(inForce, declared).map(formatChange).forEach((line) => console.log(line));
 *
 * @param before undefined if there is no configuration yet
 */
export const diffConfigurations = (
  before: Configuration | undefined,
  after: Configuration,
): DeclarationChange[] => {
  const changes = CONFIGURATION_SECTIONS.flatMap((section) =>
    listSectionChanges(section, before?.[section] ?? [], after[section]),
  );
  if (before?.presetInForce === after.presetInForce) return changes;
  const preset = { before: before?.presetInForce, after: after.presetInForce };
  const fields = [{ path: 'presetInForce', ...preset }];
  return [
    ...changes,
    { kind: 'changed', section: 'presetInForce', id: after.presetInForce, fields },
  ];
};

const CHANGE_MARKS: Readonly<Record<DeclarationChange['kind'], string>> = {
  added: '+',
  removed: '-',
  changed: '~',
};

const formatField = ({ path, before, after }: FieldChange): string =>
  `${path}: ${JSON.stringify(before) ?? '(none)'} -> ${JSON.stringify(after) ?? '(none)'}`;

/**
 * Formats a change as one line.
 *
 * @example
 * formatChange(change); // '~ teams/counter: weight: 1 -> 2'
 */
export const formatChange = ({ kind, section, id, fields }: DeclarationChange): string => {
  const name = section === 'presetInForce' ? 'preset in force' : `${section}/${id}`;
  const values = fields.map(formatField).join('; ');
  return values === ''
    ? `${CHANGE_MARKS[kind]} ${name}`
    : `${CHANGE_MARKS[kind]} ${name}: ${values}`;
};
