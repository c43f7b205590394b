import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '@savorywind/model';
import type { CommandFailure } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

/** A parsed line of an entry VM's log. */
interface LogLine {
  readonly time: string;
  readonly vm: string;
  readonly event: number;
  readonly name: string;
  readonly message: string;
  readonly request?: string;
  readonly [field: string]: unknown;
}

const STDIN_FD = 0;

/**
 * Time before a request's first line, in milliseconds. Events of the entry VM itself in this time
 * are shown too, because they help to explain how the request was handled.
 */
const CONTEXT_WINDOW_MS = 5_000;

/** Fields that formatLine shows at the start of a line, or leaves out. */
const PREFIX_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'vm',
  'event',
  'name',
  'message',
  'level',
  'request',
]);

const readText = (file: string): Result<string, CommandFailure> => {
  try {
    return Ok(readFileSync(file === '-' ? STDIN_FD : file, 'utf8'));
  } catch (error) {
    return Err({
      exitCode: exitCodes.usage,
      message: `${file}: ${(error as Error).message}`,
      hint: 'Name files that hold the logs of entry VMs, or - for standard input.',
    });
  }
};

const isLogLine = (value: unknown): value is LogLine => {
  const line = value as Partial<LogLine> | null;
  return typeof line?.time === 'string' && typeof line.vm === 'string' && line.event !== undefined;
};

/**
 * Parses a log line, which may have a prefix. Skips truncated lines and lines of other programs,
 * since one file may contain the logs of several programs.
 */
const parseLine = (text: string): LogLine[] => {
  const start = text.indexOf('{');
  if (start < 0) return [];
  try {
    const value: unknown = JSON.parse(text.slice(start));
    return isLogLine(value) ? [value] : [];
  } catch {
    return [];
  }
};

const compareTimes = (a: LogLine, b: LogLine): number => Date.parse(a.time) - Date.parse(b.time);

/** Whether a line reports an event of an entry VM just before or while it handled the request. */
const isContext = (line: LogLine, requestLines: readonly LogLine[]): boolean => {
  if (line.request !== undefined) return false;
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return false;
  const atMs = Date.parse(line.time);
  const isInWindow =
    atMs >= Date.parse(first.time) - CONTEXT_WINDOW_MS && atMs <= Date.parse(last.time);
  return isInWindow && requestLines.some(({ vm }) => vm === line.vm);
};

const formatLine = (line: LogLine): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !PREFIX_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const prefix = line.request === undefined ? '  ' : '* ';
  return `${prefix}${line.time}  ${line.vm}  ${line.event} ${line.message}  ${fields.join(' ')}`;
};

/**
 * Shows the log lines of one request from the logs of several entry VMs in order of time, together
 * with events of these entry VMs from shortly before and during the request.
 *
 * @param request id that the caller sent with the request
 * @param files log files; `-` reads standard input
 */
export const describeRequest = (request: string, files: readonly string[]): CommandResult => {
  const lines: LogLine[] = [];
  for (const file of files) {
    const text = readText(file);
    if (text.err) return text;
    lines.push(...text.val.split('\n').flatMap(parseLine));
  }
  const requestLines = lines.filter((line) => line.request === request).sort(compareTimes);
  if (requestLines.length === 0) {
    return Err({
      exitCode: exitCodes.refused,
      message: `no line of these logs names request ${request}`,
      hint: 'Requests that were served in time leave no line; else name the logs of all entry VMs.',
    });
  }
  const context = lines.filter((line) => isContext(line, requestLines));
  const shownLines = [...requestLines, ...context].sort(compareTimes);
  return Ok({ json: { request, lines: shownLines }, lines: shownLines.map(formatLine) });
};
