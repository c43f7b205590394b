import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { EngineCall } from '@savorywind/decisions';
import type { Engine, PlatformFailure, PlatformReply, Result } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { callEngine } from '../../src/endpoints/engine-client.js';
import { PlatformClient } from '../../src/platform/platform-client.js';

const BODIES = ['', 'no json', '[]', 'null', '{"streams":3,"outcomes":"none","entries":null}'];

const READS: readonly EngineCall[] = [
  { kind: 'streams.list' },
  { kind: 'load.read' },
  { kind: 'placement.read' },
];

describe('an invalid reply', () => {
  let server: Server;
  let body = '';
  let address: { host: string; port: number };

  beforeEach(async () => {
    server = createServer((_request, response) => response.end(body));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const callPlatform = (
    client: PlatformClient,
    call: Parameters<PlatformClient['call']>[0],
  ): Promise<Result<PlatformReply, PlatformFailure>> =>
    new Promise((resolve) => {
      client.call(call, resolve);
    });

  it.each(BODIES)('of an engine counts as no answer: %j', async (text) => {
    body = text;
    const engine = { id: 'engine-a1', address } as Engine;
    const replies = await Promise.all(READS.map((read) => callEngine(engine, read)));
    expect(replies.map(({ val }) => val)).toEqual(READS.map(() => 'unanswered'));
  });

  it('of an engine counts as no answer if it exceeds the size limit', async () => {
    body = JSON.stringify({ streams: [], filler: 'x'.repeat(17_000_000) });
    const engine = { id: 'engine-a1', address } as Engine;
    expect((await callEngine(engine, { kind: 'streams.list' })).val).toBe('unanswered');
  });

  it.each([...BODIES, '{"outcomes":[]}'])(
    'of the platform counts as no answer: %j',
    async (text) => {
      body = text;
      const client = new PlatformClient(address);
      const get = { kind: 'get', table: 'rows', key: 'one' } as const;
      const tables = await callPlatform(client, { kind: 'tables', operations: [get] });
      const members = await callPlatform(client, { kind: 'membership' });
      client.stop();
      expect([tables.val, members.val]).toEqual(['unanswered', 'unanswered']);
    },
  );
});
