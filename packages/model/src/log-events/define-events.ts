import type { LogEvent, LogLevel } from './types.js';

type Row = readonly [number: number, level: LogLevel, message: string];

/** Turns a compact table into catalogue entries that know their own names. */
export const defineEvents = <Name extends string>(
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, LogEvent>> => {
  const entries = Object.entries<Row>(rows).map(([name, [number, level, message]]) => [
    name,
    { number, name, level, message },
  ]);
  return Object.fromEntries(entries) as Record<Name, LogEvent>;
};
