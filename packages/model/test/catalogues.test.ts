import { format, resolveConfig } from 'prettier';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { logEvents, resultCodes, type ResultCode, type RetryAdvice } from '@savorywind/model';

const resolveDocsPath = (file: string): string =>
  fileURLToPath(new URL(`../../../docs/${file}`, import.meta.url));

const RETRY_TEXTS: Readonly<Record<RetryAdvice, string>> = {
  never: 'does not help',
  afterHeader: 'after Retry-After',
  perAnswer: 'where the answer has Retry-After',
};

const formatTable = (columns: readonly string[], rows: readonly (readonly string[])[]): string =>
  [columns, columns.map(() => '-'), ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');

const formatPage = async (file: string, parts: readonly string[]): Promise<string> => {
  const options = await resolveConfig(resolveDocsPath(file));
  return format(parts.join('\n\n'), { ...options, parser: 'markdown' });
};

const formatCode = (code: ResultCode): string[] => [
  `${code.code}`,
  `\`${code.name}\``,
  `${code.httpStatus}`,
  code.message,
  code.hint,
  code.outcome.ran.join(', '),
  RETRY_TEXTS[code.outcome.retry],
];

const UPDATE_NOTE =
  'This page is checked against the catalogue in `packages/model/src`. After a change there, write it anew with `npx vitest run packages/model/test/catalogues.test.ts -u`.';

const RESULT_CODES_INTRO =
  'Every refusal is JSON: `error.code`, `error.type` (the name), `error.message`, `error.hint`, `error.detail` where there is more to say, `error.ran` and `error.requestId`. `ran` says whether the request ran at an endpoint: `no` is said only when that is certain. Retry-After is in seconds.';

const LOG_EVENTS_INTRO =
  'Every log line is one JSON object with `time`, `level`, `vm`, `event` (the number), `name`, `message` and the fields of the event. No line carries a prompt, an answer or a credential.';

describe('the catalogues', () => {
  it('give every result code a unique number and an HTTP error status', () => {
    const codes = Object.values(resultCodes);
    expect(new Set(codes.map(({ code }) => code)).size).toBe(codes.length);
    expect(codes.filter(({ httpStatus }) => httpStatus < 400 || httpStatus > 599)).toEqual([]);
    expect(codes.filter(({ outcome }) => outcome.ran.length === 0)).toEqual([]);
  });

  it('give every log event a unique number', () => {
    const events = Object.values(logEvents);
    expect(new Set(events.map(({ number }) => number)).size).toBe(events.length);
  });

  it('match docs/result-codes.md', async () => {
    const columns = ['code', 'name', 'HTTP', 'message', 'hint', '`ran`', 'asking again'];
    const rows = Object.values(resultCodes)
      .sort((a, b) => a.code - b.code)
      .map(formatCode);
    const parts = ['# Result codes', RESULT_CODES_INTRO, UPDATE_NOTE, formatTable(columns, rows)];
    const page = await formatPage('result-codes.md', parts);
    await expect(page).toMatchFileSnapshot(resolveDocsPath('result-codes.md'));
  });

  it('match docs/log-events.md', async () => {
    const rows = Object.values(logEvents)
      .sort((a, b) => a.number - b.number)
      .map(({ number, name, level, message }) => [`${number}`, `\`${name}\``, level, message]);
    const table = formatTable(['event', 'name', 'level', 'message'], rows);
    const page = await formatPage('log-events.md', [
      '# Log events',
      LOG_EVENTS_INTRO,
      UPDATE_NOTE,
      table,
    ]);
    await expect(page).toMatchFileSnapshot(resolveDocsPath('log-events.md'));
  });
});
