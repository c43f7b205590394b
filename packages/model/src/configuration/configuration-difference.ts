import { CONFIGURATION_SECTIONS, type ConfigurationSection } from './diff-configurations.js';
import type { Configuration } from './schema.js';

interface Declaration {
  readonly id: string;
}

/** Added or changed declarations of one section, and the ids of removed ones. */
export interface SectionDifference {
  readonly put: readonly Declaration[];
  readonly removed: readonly string[];
}

/**
 * Difference that turns one configuration into another. It is usually much smaller than the whole
 * document.
 */
export interface ConfigurationDifference {
  readonly presetInForce: string;
  readonly sections: Readonly<Partial<Record<ConfigurationSection, SectionDifference>>>;
}

const buildSection = (
  before: readonly Declaration[],
  after: readonly Declaration[],
): SectionDifference => {
  const beforeById = new Map(
    before.map((declaration) => [declaration.id, JSON.stringify(declaration)]),
  );
  const afterIds = new Set(after.map(({ id }) => id));
  return {
    put: after.filter(
      (declaration) => beforeById.get(declaration.id) !== JSON.stringify(declaration),
    ),
    removed: before.map(({ id }) => id).filter((id) => !afterIds.has(id)),
  };
};

/** Applies the difference of a section. Changed declarations keep their position, new ones are appended. */
const applySection = (
  before: readonly Declaration[],
  { put, removed }: SectionDifference,
): Declaration[] => {
  const changed = new Map(put.map((declaration) => [declaration.id, declaration]));
  const removedIds = new Set(removed);
  const kept = before.filter(({ id }) => !removedIds.has(id));
  const keptIds = new Set(kept.map(({ id }) => id));
  const added = put.filter(({ id }) => !keptIds.has(id));
  return [...kept.map((declaration) => changed.get(declaration.id) ?? declaration), ...added];
};

/** Applies a difference. The result is not validated; throws on a malformed difference. */
const applySections = (before: Configuration, difference: ConfigurationDifference): unknown => {
  const changed = CONFIGURATION_SECTIONS.flatMap((section) => {
    const part = difference.sections[section];
    return part === undefined ? [] : [[section, applySection(before[section], part)]];
  });
  const { presetInForce } = difference;
  return { ...before, ...Object.fromEntries(changed), presetInForce };
};

/**
 * Applies a difference from outside this process. The caller has to parse the result before use.
 *
 * @example
 * const parsed = parseConfiguration(applyDifference(before, difference));
 *
 * @returns undefined if the difference is malformed
 */
export const applyDifference = (
  before: Configuration,
  difference: ConfigurationDifference,
): unknown => {
  try {
    return applySections(before, difference);
  } catch {
    return undefined;
  }
};

/**
 * Computes the difference that turns one configuration into another.
 *
 * @example
 * const difference = buildDifference(before, after);
 * // { presetInForce: 'peak', sections: {} }
 *
 * @returns undefined if applying it would not give an identical configuration, for example after a
 *   change of order
 */
export const buildDifference = (
  before: Configuration,
  after: Configuration,
): ConfigurationDifference | undefined => {
  const parts = CONFIGURATION_SECTIONS.map(
    (section) => [section, buildSection(before[section], after[section])] as const,
  );
  const nonEmptyParts = parts.filter(([, { put, removed }]) => put.length + removed.length > 0);
  const difference = {
    presetInForce: after.presetInForce,
    sections: Object.fromEntries(nonEmptyParts),
  };
  const result = applySections(before, difference) as Configuration;
  const isExact = CONFIGURATION_SECTIONS.every(
    (section) => JSON.stringify(result[section]) === JSON.stringify(after[section]),
  );
  return isExact ? difference : undefined;
};
