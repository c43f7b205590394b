import type { LogFields } from '@savorywind/model';

/** Longest text of a field in the log, in characters: paths, hosts and errors may come from outside. */
const MAX_FIELD_CHARS = 1_024;

/** Ends a text that was cut off. */
const CUT_MARK = '…';

const limitValue = <Value>(value: Value): Value | string =>
  typeof value === 'string' && value.length > MAX_FIELD_CHARS
    ? `${value.slice(0, MAX_FIELD_CHARS)}${CUT_MARK}`
    : value;

/**
 * Copies the fields of a log line, with texts of bounded length.
 *
 * @example
 * copyLogFields({ path: 'a'.repeat(50_000) }).path; // 1,025 characters
 */
export const copyLogFields = (fields: LogFields): LogFields =>
  Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, limitValue(value)]));
