import type { ResultCode } from './types.js';

type Row = readonly [
  code: number,
  httpStatus: number,
  title: string,
  message: string,
  hint: string,
];

/** Turns a compact table into catalogue entries that know their own names. */
export const defineCodes = <Name extends string>(
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, ResultCode>> => {
  const entries = Object.entries<Row>(rows).map(([name, row]) => {
    const [code, httpStatus, title, message, hint] = row;
    return [name, { code, name, httpStatus, title, message, hint }];
  });
  return Object.fromEntries(entries) as Record<Name, ResultCode>;
};
