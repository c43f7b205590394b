import results, { type Result, type Option } from 'ts-results';

/** ts-results is a CommonJS module: its values are available only through the default export. */
const { Ok, Err, Some, None } = results;

export { Ok, Err, Some, None };
export type { Result, Option };
