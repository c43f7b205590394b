import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { exitCodes, runCommand } from '../src/index.js';
import { createIo } from './fixtures/create-io.js';

const ADAPTER = `export const checkSettings = (text) =>
  text.includes('right') ? [] : ['wait_ms is "soon": give milliseconds'];`;

describe('savorywind check with an adapter', () => {
  let directory: string;

  const write = (name: string, text: string): string => {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
  };

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'savorywind-check-'));
  });

  afterEach(() => rmSync(directory, { recursive: true }));

  it('reports a valid file', async () => {
    const io = createIo({});
    const args = ['check', write('a.toml', 'right'), '--adapter', write('adapter.mjs', ADAPTER)];
    expect(await runCommand(args, io)).toBe(exitCodes.done);
    expect(io.lines.join('\n')).toContain('valid');
  });

  it('fails with exit code 2 for an invalid file', async () => {
    const io = createIo({});
    const args = ['check', write('a.toml', 'x'), '--adapter', write('adapter.mjs', ADAPTER)];
    expect(await runCommand(args, io)).toBe(exitCodes.invalidDeclarations);
  });

  it('fails for a module without checkSettings and for a missing module', async () => {
    const file = write('a.toml', 'x');
    const other = write('other.mjs', 'export const something = 1;');
    const missing = join(directory, 'missing.mjs');
    expect(await runCommand(['check', file, '--adapter', other], createIo({}))).toBe(
      exitCodes.usage,
    );
    expect(await runCommand(['check', file, '--adapter', missing], createIo({}))).toBe(
      exitCodes.usage,
    );
  });
});
