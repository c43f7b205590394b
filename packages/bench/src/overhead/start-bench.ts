import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { CONFIGURATION_HEAD_KEY, configurationSchema, tables } from '@savorywind/model';
import { startPlatform } from '@savorywind/stand-ins';
import { startEntry, startNode } from '../process/child-process.js';
import { CREDENTIAL, STEP_MS } from './consts.js';
import type { Bench, EnginePace } from './types.js';

const host = '127.0.0.1';
const TOKEN_SOURCE = fileURLToPath(new URL('./token-source.js', import.meta.url));
const READY_POLL_MS = 20;

const createEngine = (id: EnginePace, port: number) => ({
  kind: 'engine',
  id,
  failureDomain: 'a',
  address: { host, port },
  model: id,
  memoryTokens: 1_000_000_000,
  batchLimit: 100_000,
  prefillTokensPerS: 1_000_000,
  decodeTokensPerS: 10_000,
  fencing: 'checked',
});

type PortByPace = Readonly<Record<EnginePace, number>>;

const PACES = Object.keys(STEP_MS) as EnginePace[];

const createHead = (ports: PortByPace) => ({
  version: 1,
  changeId: 'overhead-1',
  author: 'bench',
  committedAtMs: Date.now(),
  configuration: configurationSchema.parse({
    teams: [
      { id: 'bench', credentialSha256: [createHash('sha256').update(CREDENTIAL).digest('hex')] },
    ],
    models: PACES.map((id) => ({ id, maxOutputTokens: 1_000_000 })),
    services: [],
    endpoints: PACES.map((pace) => createEngine(pace, ports[pace])),
    presets: [{ id: 'ordinary' }],
    presetInForce: 'ordinary',
  }),
});

const waitReady = async (url: string): Promise<void> => {
  const isReady = (): Promise<boolean> =>
    fetch(`${url}/healthz/ready`).then(
      ({ ok }) => ok,
      () => false,
    );
  while (!(await isReady())) {
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
};

const writeSettings = (platformPort: number): string => {
  const file = join(mkdtempSync(join(tmpdir(), 'savorywind-bench-')), 'entry.json');
  const any = { host, port: 0 };
  writeFileSync(
    file,
    JSON.stringify({
      id: 'entry-bench',
      failureDomain: 'a',
      callers: any,
      operators: any,
      links: any,
      platform: { host, port: platformPort },
      limits: { drainNoticeMs: 0 },
    }),
  );
  return file;
};

/** Starts one entry VM with an engine for each pace, each a process of its own. */
export const startBench = async (): Promise<Bench & { readonly close: () => Promise<void> }> => {
  const platform = await startPlatform({ port: 0 });
  const sources = await Promise.all(
    PACES.map(async (pace) => {
      const source = await startNode(TOKEN_SOURCE, [String(STEP_MS[pace])]);
      return [pace, source] as const;
    }),
  );
  const ports = Object.fromEntries(sources.map(([pace, { port }]) => [pace, port])) as PortByPace;
  const operation = {
    kind: 'insert',
    table: tables.configuration,
    key: CONFIGURATION_HEAD_KEY,
    value: createHead(ports),
  };
  await fetch(`http://${host}:${platform.port}/v1/tables`, {
    method: 'POST',
    body: JSON.stringify({ operations: [operation] }),
  });
  const entry = await startEntry(writeSettings(platform.port));
  await waitReady(`http://${host}:${entry.port}`);
  const children = [entry.child, ...sources.map(([, source]) => source.child)];
  return {
    entry: { host, port: entry.port },
    engines: Object.fromEntries(
      PACES.map((pace) => [pace, { host, port: ports[pace] }]),
    ) as Bench['engines'],
    entryPid: entry.child.pid ?? 0,
    close: async () => {
      children.forEach((child) => child.kill('SIGKILL'));
      await platform.close();
    },
  };
};
