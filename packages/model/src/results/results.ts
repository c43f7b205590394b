import results, { type Result, type Option } from 'ts-results';

/** ts-results is CommonJS: its values are reached through the default export only. */
const { Ok, Err, Some, None } = results;

export { Ok, Err, Some, None };
export type { Result, Option };
