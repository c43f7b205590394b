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
 * Turns a compact table into catalogue entries that know their own names.
 *
 * @param usualOutcome what holds for rows that state nothing else
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

/** Turns a compact table into catalogue entries whose outcome is stated in each answer. */
export const defineCodes = <Name extends string>(
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, ResultCode>> => defineRefusals(STATED_IN_EACH_ANSWER, rows);
