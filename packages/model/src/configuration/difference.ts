import { CONFIGURATION_SECTIONS, type ConfigurationSection } from './diff-configuration.js';
import type { Configuration } from './schema.js';

interface Declaration {
  readonly id: string;
}

/** Declarations of one section that were added or changed, and ids of those that were removed. */
export interface SectionDifference {
  readonly put: readonly Declaration[];
  readonly removed: readonly string[];
}

/** What has to be done to one configuration to get another. Much smaller than a whole one. */
export interface ConfigurationDifference {
  readonly presetInForce: string;
  readonly sections: Readonly<Partial<Record<ConfigurationSection, SectionDifference>>>;
}

const buildSection = (
  before: readonly Declaration[],
  after: readonly Declaration[],
): SectionDifference => {
  const old = new Map(before.map((declaration) => [declaration.id, JSON.stringify(declaration)]));
  const kept = new Set(after.map(({ id }) => id));
  return {
    put: after.filter((declaration) => old.get(declaration.id) !== JSON.stringify(declaration)),
    removed: before.map(({ id }) => id).filter((id) => !kept.has(id)),
  };
};

/** Changed declarations keep their place, new ones go to the end. */
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

/** Applies a difference that came from this code; the result is of unknown shape until parsed. */
const applySections = (before: Configuration, difference: ConfigurationDifference): unknown => {
  const changed = CONFIGURATION_SECTIONS.flatMap((section) => {
    const part = difference.sections[section];
    return part === undefined ? [] : [[section, applySection(before[section], part)]];
  });
  const { presetInForce } = difference;
  return { ...before, ...Object.fromEntries(changed), presetInForce };
};

/**
 * Applies a difference of unknown origin. The caller parses the result before it is used.
 *
 * @example
 * const parsed = parseConfiguration(applyDifference(before, difference));
 *
 * @returns undefined where the difference makes no sense
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
 * Works out what leads from one configuration to another.
 *
 * @example
 * const difference = buildDifference(before, after);
 * // { presetInForce: 'peak', sections: {} }
 *
 * @returns undefined where the result would not be equal to the letter, as after a change of order
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
