import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from '@savorywind/model';
import type { CommandFailure } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

/** One line of an entry VM's log. */
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

/** Events of an entry VM itself this long before a request tell why it was decided so, in ms. */
const CONTEXT_MS = 5_000;

/** Fields of the line that are shown by themselves. */
const HEAD_FIELDS: ReadonlySet<string> = new Set([
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
  } catch (fault) {
    return Err({
      exitCode: exitCodes.usage,
      message: `${file}: ${(fault as Error).message}`,
      hint: 'Name files that hold the logs of entry VMs, or - for standard input.',
    });
  }
};

const isLogLine = (value: unknown): value is LogLine => {
  const line = value as Partial<LogLine> | null;
  return typeof line?.time === 'string' && typeof line.vm === 'string' && line.event !== undefined;
};

/** Logs of several programs may be mixed: what is no line of ours, or cut off, is passed over. */
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

const isContext = (line: LogLine, story: readonly LogLine[]): boolean => {
  if (line.request !== undefined) return false;
  const [first] = story;
  const last = story.at(-1);
  if (first === undefined || last === undefined) return false;
  const atMs = Date.parse(line.time);
  const isNear = atMs >= Date.parse(first.time) - CONTEXT_MS && atMs <= Date.parse(last.time);
  return isNear && story.some(({ vm }) => vm === line.vm);
};

const formatLine = (line: LogLine): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !HEAD_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = line.request === undefined ? '  ' : '* ';
  return `${mark}${line.time}  ${line.vm}  ${line.event} ${line.message}  ${fields.join(' ')}`;
};

/**
 * Tells the story of one request from the logs of any number of entry VMs, in order of time: its own
 * lines, and what befell the same entry VMs shortly before.
 *
 * @param request the id that the caller gave
 * @param files logs; - for standard input
 */
export const describeRequest = (request: string, files: readonly string[]): CommandResult => {
  const lines: LogLine[] = [];
  for (const file of files) {
    const text = readText(file);
    if (text.err) return text;
    lines.push(...text.val.split('\n').flatMap(parseLine));
  }
  const story = lines.filter((line) => line.request === request).sort(compareTimes);
  if (story.length === 0) {
    return Err({
      exitCode: exitCodes.refused,
      message: `no line of these logs names request ${request}`,
      hint: 'Requests that were served in time leave no line; else name the logs of all entry VMs.',
    });
  }
  const context = lines.filter((line) => isContext(line, story));
  const told = [...story, ...context].sort(compareTimes);
  return Ok({ json: { request, lines: told }, lines: told.map(formatLine) });
};
