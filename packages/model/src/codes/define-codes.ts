import type { CodeOutcome, ResultCode } from './types.js';

type Row = readonly [
  code: number,
  httpStatus: number,
  title: string,
  message: string,
  hint: string,
  outcome?: CodeOutcome,
];

const STATED_IN_EACH_ANSWER: CodeOutcome = { ran: ['no', 'yes', 'unknown'], retry: 'perAnswer' };

/**
 * Expands a compact table into catalogue entries that contain their names.
 *
 * @param defaultOutcome outcome of rows that do not have their own
 */
export const defineRefusals = <Name extends string>(
  defaultOutcome: CodeOutcome,
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, ResultCode>> => {
  const entries = Object.entries<Row>(rows).map(([name, row]) => {
    const [code, httpStatus, title, message, hint, outcome = defaultOutcome] = row;
    return [name, { code, name, httpStatus, title, message, hint, outcome }];
  });
  return Object.fromEntries(entries) as Record<Name, ResultCode>;
};

/** Like `defineRefusals`, for codes whose outcome differs from answer to answer. */
export const defineCodes = <Name extends string>(
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, ResultCode>> => defineRefusals(STATED_IN_EACH_ANSWER, rows);
