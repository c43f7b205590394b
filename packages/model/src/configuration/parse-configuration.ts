import type { z } from 'zod';
import { Err, Ok, type Result } from '../results/results.js';
import { configurationSchema, type Configuration } from './schema.js';

/** Validation error in a declaration, with its path and a suggested correction. */
export interface ConfigurationFault {
  readonly path: string;
  readonly message: string;
  readonly remedy: string;
}

type IssueCode = z.core.$ZodIssue['code'];

const REMEDIES: Readonly<Partial<Record<IssueCode, string>>> = {
  invalid_type: 'Give a value of the type that the schema requires.',
  unrecognized_keys: 'Remove the key, or correct its spelling.',
  invalid_value: 'Use one of the values listed.',
  invalid_format: 'Change the value to match the given pattern.',
  invalid_union: 'Set "kind" to "engine" or "service".',
  too_small: 'Raise the value, or add an item.',
  too_big: 'Lower the value, or remove an item.',
};

const DEFAULT_REMEDY = 'See docs/schema/declarations.schema.json.';

const SECTIONS = ['teams', 'models', 'services', 'endpoints', 'presets'] as const;

const describeIssue = ({ code, path, message }: z.core.$ZodIssue): ConfigurationFault => ({
  path: path.join('.'),
  message,
  remedy: REMEDIES[code] ?? DEFAULT_REMEDY,
});

const describeUnknownReference = (path: string, kind: string, id: string): ConfigurationFault => ({
  path,
  message: `no ${kind} "${id}" is declared`,
  remedy: `Declare the ${kind}, or correct the name.`,
});

const listUnknownReferences = (configuration: Configuration): ConfigurationFault[] => {
  const models = new Set(configuration.models.map(({ id }) => id));
  const services = new Set(configuration.services.map(({ id }) => id));
  const presets = new Set(configuration.presets.map(({ id }) => id));
  const faults = configuration.endpoints.flatMap((endpoint, index) => {
    const path = `endpoints.${index}`;
    if (endpoint.kind === 'engine') {
      if (models.has(endpoint.model)) return [];
      return [describeUnknownReference(`${path}.model`, 'model', endpoint.model)];
    }
    if (services.has(endpoint.service)) return [];
    return [describeUnknownReference(`${path}.service`, 'service', endpoint.service)];
  });
  const { presetInForce } = configuration;
  if (presets.has(presetInForce)) return faults;
  return [...faults, describeUnknownReference('presetInForce', 'preset', presetInForce)];
};

const listDuplicateIds = (configuration: Configuration): ConfigurationFault[] =>
  SECTIONS.flatMap((section) => {
    const seen = new Set<string>();
    return configuration[section].flatMap(({ id }, index) => {
      const isDuplicate = seen.has(id);
      seen.add(id);
      if (!isDuplicate) return [];
      const message = `"${id}" is declared twice`;
      return [{ path: `${section}.${index}.id`, message, remedy: 'Remove or rename one of them.' }];
    });
  });

/**
 * Validates declarations from outside this process: first their shape, then that ids are unique and
 * references lead to declarations.
 *
 * @example
 * const parsed = parseConfiguration(JSON.parse(text));
 * if (parsed.err) parsed.val.forEach(({ path, message }) => report(path, message));
 *
 * @returns Ok with defaults filled in, or Err with at least one fault
 */
export const parseConfiguration = (
  value: unknown,
): Result<Configuration, readonly ConfigurationFault[]> => {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) return Err(parsed.error.issues.map(describeIssue));
  const faults = [...listDuplicateIds(parsed.data), ...listUnknownReferences(parsed.data)];
  return faults.length > 0 ? Err(faults) : Ok(parsed.data);
};
