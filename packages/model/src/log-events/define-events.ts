import type { LogEvent, LogLevel } from './types.js';

type Row = readonly [number: number, level: LogLevel, message: string];

/** Expands a compact table into catalogue entries that contain their names. */
export const defineEvents = <Name extends string>(
  rows: Readonly<Record<Name, Row>>,
): Readonly<Record<Name, LogEvent>> => {
  const entries = Object.entries<Row>(rows).map(([name, [number, level, message]]) => [
    name,
    { number, name, level, message },
  ]);
  return Object.fromEntries(entries) as Record<Name, LogEvent>;
};
