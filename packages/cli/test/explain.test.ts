import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { exitCodes, runCommand } from '../src/index.js';
import { createIo } from './fixtures/create-io.js';

const createLine = (second: number, vm: string, fields: object): string =>
  JSON.stringify({
    time: `2026-12-03T10:00:${String(second).padStart(2, '0')}.000Z`,
    level: 'INFO',
    vm,
    ...fields,
  });

const REPEATED = { event: 821, name: 'requestRepeated', message: 'given to another endpoint' };
const REFUSED = { event: 822, name: 'requestTurnedAway', message: 'answered by the gateway' };
const STORE_LOST = { event: 806, name: 'storeLost', message: 'the store does not answer' };

describe('savorywind explain', () => {
  let directory: string;
  let logs: string[];

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'savorywind-explain-'));
    logs = ['entry-1.log', 'entry-2.log'].map((name) => join(directory, name));
    const first = [
      createLine(9, 'entry-1', { ...REFUSED, request: 'a1', reason: 'noRoom' }),
      createLine(5, 'entry-1', { ...REPEATED, request: 'a1', cause: 'silent' }),
      createLine(4, 'entry-1', STORE_LOST),
      createLine(6, 'entry-1', { ...REPEATED, request: 'another' }),
      '{"time":"2026-12-03T10:00',
    ];
    writeFileSync(logs[0]!, first.join('\n'));
    writeFileSync(logs[1]!, createLine(7, 'entry-2', { ...REPEATED, request: 'a1', cause: 'x' }));
  });

  afterEach(() => rmSync(directory, { recursive: true }));

  it('shows the lines of a request and preceding events of its entry VMs in order of time', async () => {
    const io = createIo({});
    expect(await runCommand(['explain', 'a1', ...logs], io)).toBe(exitCodes.done);
    expect(io.lines.map((line) => /(80|82)\d/.exec(line)?.[0])).toEqual([
      '806',
      '821',
      '821',
      '822',
    ]);
    expect(io.lines.at(-1)).toContain('reason=noRoom');
  });

  it('fails if no log contains the request', async () => {
    const io = createIo({});
    expect(await runCommand(['explain', 'b7', ...logs], io)).toBe(exitCodes.refused);
  });

  it('fails for a file that can’t be read', async () => {
    const io = createIo({});
    const missing = join(directory, 'missing.log');
    expect(await runCommand(['explain', 'a1', missing], io)).toBe(exitCodes.usage);
  });
});
