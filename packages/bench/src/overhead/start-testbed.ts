import { createHash } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { CONFIGURATION_HEAD_KEY, configurationSchema, tables } from '@savorywind/model';
import { startPlatform } from '@savorywind/stand-ins';
import { startEntry, startNodeProgram } from '../process/child-process.js';
import { CREDENTIAL, TOKEN_INTERVAL_MS } from './consts.js';
import type { EngineProfile, Testbed } from './types.js';

const host = '127.0.0.1';
const MINIMAL_ENGINE_PATH = fileURLToPath(new URL('./minimal-engine.js', import.meta.url));
const READY_POLL_MS = 20;

const createEngine = (id: EngineProfile, port: number) => ({
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

type PortByProfile = Readonly<Record<EngineProfile, number>>;

const PROFILES = Object.keys(TOKEN_INTERVAL_MS) as EngineProfile[];

const createHead = (ports: PortByProfile) => ({
  version: 1,
  changeId: 'overhead-1',
  author: 'bench',
  committedAtMs: Date.now(),
  configuration: configurationSchema.parse({
    teams: [
      { id: 'bench', credentialSha256: [createHash('sha256').update(CREDENTIAL).digest('hex')] },
    ],
    models: PROFILES.map((id) => ({ id, maxOutputTokens: 1_000_000 })),
    services: [],
    endpoints: PROFILES.map((profile) => createEngine(profile, ports[profile])),
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

/** Writes the settings of the entry VM; returns the path of the file. */
const writeSettings = (platformPort: number): string => {
  const file = join(mkdtempSync(join(tmpdir(), 'savorywind-bench-')), 'entry.json');
  const anyPort = { host, port: 0 };
  writeFileSync(
    file,
    JSON.stringify({
      id: 'entry-bench',
      failureDomain: 'a',
      callers: anyPort,
      operators: anyPort,
      links: anyPort,
      platform: { host, port: platformPort },
      limits: { drainNoticeMs: 0 },
    }),
  );
  return file;
};

/** Starts one entry VM and one engine per profile, each in its own process, and a platform. */
export const startTestbed = async (): Promise<
  Testbed & { readonly close: () => Promise<void> }
> => {
  const platform = await startPlatform({ port: 0 });
  const engines = await Promise.all(
    PROFILES.map(async (profile) => {
      const engine = await startNodeProgram(MINIMAL_ENGINE_PATH, [
        String(TOKEN_INTERVAL_MS[profile]),
      ]);
      return [profile, engine] as const;
    }),
  );
  const ports = Object.fromEntries(
    engines.map(([profile, { port }]) => [profile, port]),
  ) as PortByProfile;
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
  const children = [entry.child, ...engines.map(([, engine]) => engine.child)];
  return {
    entry: { host, port: entry.port },
    engines: Object.fromEntries(
      PROFILES.map((profile) => [profile, { host, port: ports[profile] }]),
    ) as Testbed['engines'],
    entryPid: entry.child.pid ?? 0,
    close: async () => {
      children.forEach((child) => child.kill('SIGKILL'));
      await platform.close();
    },
  };
};
