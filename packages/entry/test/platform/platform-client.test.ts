import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tables, type PlatformReply, type TableOperation } from '@savorywind/model';
import { TableStore } from '@savorywind/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { PlatformClient } from '../../src/platform/platform-client.js';

const HOST = '127.0.0.1';
const WRITES = 200;
const MAX_REQUESTS = 5;

describe('concurrent writes of PlatformClient', () => {
  const store = new TableStore();
  let server: Server;
  let requests = 0;

  beforeEach(async () => {
    server = createServer((request, response) => {
      requests += 1;
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => {
        const { operations } = JSON.parse(Buffer.concat(parts).toString()) as {
          operations: TableOperation[];
        };
        response.end(JSON.stringify({ outcomes: store.apply(operations) }));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
  });

  afterEach(
    () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
      }),
  );

  it('are batched into a few requests, and each receives its own outcome', async () => {
    const { port } = server.address() as AddressInfo;
    const client = new PlatformClient({ host: HOST, port });
    const write = (key: string): Promise<PlatformReply | undefined> =>
      new Promise((resolve) => {
        const operation = { kind: 'insert', table: tables.claims, key, value: key } as const;
        client.call({ kind: 'tables', operations: [operation] }, (reply) =>
          resolve(reply.ok ? reply.val : undefined),
        );
      });
    const keys = Array.from({ length: WRITES }, (_item, index) => `key-${index}`);
    const replies = await Promise.all(keys.map(write));
    const written = replies.map((reply) => {
      const outcome = reply?.kind === 'tables' ? reply.outcomes[0] : undefined;
      return outcome?.kind === 'written' ? outcome.row.value : undefined;
    });
    expect(written).toEqual(keys);
    expect(requests).toBeLessThanOrEqual(MAX_REQUESTS);
    client.stop();
  });
});
