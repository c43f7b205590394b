import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildDeclarationsSchema } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { exitCodes, loadDeclarations, runCommand } from '../src/index.js';
import { createIo } from './fixtures/create-io.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));

const writeFiles = (directory: string, files: Readonly<Record<string, unknown>>): void =>
  Object.entries(files).forEach(([name, value]) => {
    mkdirSync(join(directory, name, '..'), { recursive: true });
    writeFileSync(join(directory, name), typeof value === 'string' ? value : JSON.stringify(value));
  });

const createFiles = (): Record<string, unknown> => ({
  'teams.json': { teams: [{ id: 'counter', credentialSha256: ['0'.repeat(64)] }] },
  'models.json': { models: [{ id: 'assistant' }] },
  'services.json': { services: [{ id: 'booking' }] },
  'presets.json': { presets: [{ id: 'ordinary' }, { id: 'peak' }] },
  'endpoints/a.json': {
    endpoints: [
      {
        kind: 'service',
        id: 'booking-a1',
        failureDomain: 'a',
        address: { host: '10.0.0.1', port: 8100 },
        service: 'booking',
      },
    ],
  },
  'endpoints/b.json': {
    endpoints: [
      {
        kind: 'service',
        id: 'booking-b1',
        failureDomain: 'b',
        address: { host: '10.0.0.2', port: 8100 },
        service: 'booking',
      },
    ],
  },
});

describe('the published JSON Schema', () => {
  it('equals the schema that the code validates with', () => {
    const text = readFileSync(`${root}docs/schema/declarations.schema.json`, 'utf8');
    expect(JSON.parse(text)).toEqual(JSON.parse(JSON.stringify(buildDeclarationsSchema())));
  });
});

describe('declarations', () => {
  let directory: string;

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'savorywind-declarations-'));
  });

  afterEach(() => rmSync(directory, { recursive: true }));

  const listFaults = (changes: Readonly<Record<string, unknown>>): string[] => {
    writeFiles(directory, { ...createFiles(), ...changes });
    const loaded = loadDeclarations(directory);
    return loaded.ok ? [] : loaded.val.map(({ file, path }) => `${file}: ${path}`);
  };

  it.each([
    ['stuhlwerk', 15],
    ['reykjanes', 25],
  ])('of %s are valid: %i engines, three replicas, three presets', (name, engines) => {
    const { presets, endpoints, teams } = loadDeclarations(`${root}examples/${name}`).unwrap();
    expect(endpoints.filter(({ kind }) => kind === 'engine')).toHaveLength(engines);
    expect(endpoints.filter(({ kind }) => kind === 'service')).toHaveLength(3);
    expect(new Set(endpoints.map(({ failureDomain }) => failureDomain)).size).toBe(3);
    expect(presets.map(({ id }) => id)).toEqual(['ordinary', 'peak', 'maintenance']);
    expect(teams).toHaveLength(10);
  });

  it('keep the preset in force if the files name none', () => {
    writeFiles(directory, createFiles());
    expect(loadDeclarations(directory, 'peak').unwrap().presetInForce).toBe('peak');
    expect(loadDeclarations(directory).unwrap().presetInForce).toBe('ordinary');
  });

  it('report a fault with its file and the path inside that file', () => {
    const { endpoints } = createFiles()['endpoints/b.json'] as { endpoints: object[] };
    const wrong = { endpoints: [{ ...endpoints[0], service: 'bookings' }] };
    expect(listFaults({ 'endpoints/b.json': wrong })).toEqual([
      'endpoints/b.json: endpoints.0.service',
    ]);
  });

  it.each([
    ['malformed JSON', 'teams.json', '{', 'teams.json: '],
    ['an array instead of an object', 'teams.json', [], 'teams.json: '],
    ['an unknown key', 'teams.json', { team: [] }, 'teams.json: team'],
    [
      'a value of the wrong type',
      'models.json',
      { models: [{ id: 1 }] },
      'models.json: models.0.id',
    ],
    ['no preset', 'presets.json', { presets: [] }, 'presets.json: presets'],
    ['a duplicate id', 'z.json', { models: [{ id: 'assistant' }] }, 'z.json: models.0.id'],
  ])('with %s are refused', (_what, file, value, expected) => {
    expect(listFaults({ [file]: value })).toContain(expected);
  });

  it('with a fault result in exit code 2 and a remedy', async () => {
    writeFiles(directory, { ...createFiles(), 'teams.json': { teams: [{ id: 'counter' }] } });
    const io = createIo();
    expect(await runCommand(['check', directory], io)).toBe(exitCodes.invalidDeclarations);
    expect(io.errors.join('\n')).toContain('teams.json: teams.0.credentialSha256');
    expect(io.errors.join('\n')).toContain('Give a value of the type');
  });
});
