import { Err, Ok, type Result } from '../results/results.js';
import { configurationSchema, type Configuration } from './schema.js';

/** A fault in a declaration, with the path to it. */
export interface ConfigurationFault {
  readonly path: string;
  readonly message: string;
}

const listUnknownReferences = (configuration: Configuration): ConfigurationFault[] => {
  const faults: ConfigurationFault[] = [];
  const models = new Set(configuration.models.map(({ id }) => id));
  const services = new Set(configuration.services.map(({ id }) => id));
  const presets = new Set(configuration.presets.map(({ id }) => id));
  configuration.endpoints.forEach((endpoint, index) => {
    const path = `endpoints.${index}`;
    if (endpoint.kind === 'engine' && !models.has(endpoint.model)) {
      faults.push({ path: `${path}.model`, message: `no model "${endpoint.model}" is declared` });
    }
    if (endpoint.kind === 'service' && !services.has(endpoint.service)) {
      faults.push({
        path: `${path}.service`,
        message: `no service "${endpoint.service}" is declared`,
      });
    }
  });
  if (!presets.has(configuration.presetInForce)) {
    faults.push({
      path: 'presetInForce',
      message: `no preset "${configuration.presetInForce}" is declared`,
    });
  }
  return faults;
};

/**
 * Checks declarations of unknown origin, shape first and references second.
 *
 * @example
 * const parsed = parseConfiguration(JSON.parse(text));
 * if (parsed.err) parsed.val.forEach(({ path, message }) => report(path, message));
 *
 * @returns Ok with defaults filled in, or Err with at least one fault, each with the path to it
 */
export const parseConfiguration = (
  value: unknown,
): Result<Configuration, readonly ConfigurationFault[]> => {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(({ path, message }) => ({
      path: path.join('.'),
      message,
    }));
    return Err(faults);
  }
  const faults = listUnknownReferences(parsed.data);
  return faults.length > 0 ? Err(faults) : Ok(parsed.data);
};
