import type { EndpointProcess } from '../types.js';

/** Whether a process of an endpoint certainly started later than another one under the same id. */
export const isLaterProcess = (
  { startedAtMs }: Pick<EndpointProcess, 'startedAtMs'>,
  other: Pick<EndpointProcess, 'startedAtMs'>,
): boolean =>
  startedAtMs !== undefined && other.startedAtMs !== undefined && startedAtMs > other.startedAtMs;
