import { logEvents, type LogFields } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createEventLogger } from '../../src/observe/logger.js';

/** Longest line for one field, in bytes: each character may need six in JSON. */
const MAX_LINE_BYTES = 8_000;

const writeLine = (fields: object): Record<string, unknown> => {
  const lines: string[] = [];
  const sink = { write: (line: string) => lines.push(line), flush: () => {} };
  createEventLogger('vm-1', 'info', sink).write(logEvents.callerLeft, fields as LogFields);
  expect(lines).toHaveLength(1);
  expect(lines[0]!.endsWith('\n')).toBe(true);
  expect(lines[0]!.trimEnd()).not.toContain('\n');
  expect(Buffer.byteLength(lines[0]!)).toBeLessThan(MAX_LINE_BYTES);
  return JSON.parse(lines[0]!) as Record<string, unknown>;
};

const circular: Record<string, unknown> = {};
circular.self = circular;

describe('a log line', () => {
  it.each([
    ['a long text', 'a'.repeat(1_000_000)],
    ['a long text of control characters', '\u0001'.repeat(1_000_000)],
    ['lone surrogates', '\uD800'.repeat(5_000)],
    ['line breaks', 'a\r\nb\u2028c'],
  ])('is one short line, whatever a text from outside contains: %s', (_case, text) => {
    const line = writeLine({ request: text });
    expect(line).toMatchObject({ name: 'callerLeft', vm: 'vm-1', level: 'INFO' });
    expect(String(line.request).slice(0, 1_000)).toBe(text.slice(0, 1_000));
  });

  it.each<[string, unknown]>([
    ['a circular object', circular],
    ['a BigInt', 1n],
    [
      'an object that throws when it is read',
      {
        get a(): never {
          throw new Error('a');
        },
      },
    ],
    [
      'an object that throws when it is converted',
      {
        toJSON: () => {
          throw new Error('b');
        },
      },
    ],
    ['an infinite number', Number.POSITIVE_INFINITY],
    ['a symbol', Symbol('a')],
  ])('is written, and throws nothing, with a field that is %s', (_case, value) => {
    expect(writeLine({ request: 'try-1', value })).toMatchObject({
      name: 'callerLeft',
      vm: 'vm-1',
    });
  });
});
