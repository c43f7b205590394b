import { mkdtempSync, writeFileSync } from 'node:fs';
import { request } from 'node:https';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TLSSocket } from 'node:tls';
import { generate } from 'selfsigned';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EntryProcess, settingsSchema } from '@savorywind/entry';
import { createTestSettings, startTestPlatform, TEST_HEADERS } from './fixtures/test-entry.js';

const host = '127.0.0.1';

interface TlsResponse {
  readonly status: number | undefined;
  readonly fingerprint: string;
}

/** Sends one request on a new connection. */
const send = (port: number): Promise<TlsResponse> =>
  new Promise((resolve, reject) => {
    const options = { host, port, path: '/v1/models', headers: TEST_HEADERS, agent: false };
    const call = request({ ...options, rejectUnauthorized: false }, (response) => {
      const { fingerprint256 } = (response.socket as TLSSocket).getPeerCertificate();
      response.resume();
      response.on('end', () =>
        resolve({ status: response.statusCode, fingerprint: fingerprint256 }),
      );
    });
    call.on('error', reject);
    call.end();
  });

describe('TLS on the server for callers', () => {
  const directory = mkdtempSync(join(tmpdir(), 'savorywind-tls-'));
  const tls = { certificateFile: join(directory, 'cert.pem'), keyFile: join(directory, 'key.pem') };
  let entry: EntryProcess;
  let drained: Promise<void>;
  let port: number;
  let closePlatform: () => Promise<void>;

  const writeCertificate = async (): Promise<void> => {
    const { cert, private: key } = await generate([{ name: 'commonName', value: 'entry' }]);
    writeFileSync(tls.certificateFile, cert);
    writeFileSync(tls.keyFile, key);
  };

  beforeEach(async () => {
    await writeCertificate();
    const platform = await startTestPlatform({});
    closePlatform = () => platform.close();
    const settings = { ...createTestSettings(platform.port), callers: { host, port: 0, tls } };
    drained = new Promise((resolve) => {
      entry = new EntryProcess(settingsSchema.parse(settings), resolve);
    });
    port = await entry.start();
  });

  afterEach(async () => {
    entry.drain();
    await drained;
    await closePlatform();
  });

  it('serves HTTPS requests and rejects plain HTTP', async () => {
    const { status } = await send(port);
    expect([200, 503]).toContain(status);
    await expect(fetch(`http://${host}:${port}/v1/models`)).rejects.toThrow();
  });

  it('loads a new certificate without a restart', async () => {
    const before = await send(port);
    await writeCertificate();
    entry.reloadCertificate();
    const after = await send(port);
    expect(after.fingerprint).not.toBe(before.fingerprint);
  });

  it('keeps the old certificate if the new certificate and key do not match', async () => {
    const before = await send(port);
    const { cert } = await generate([{ name: 'commonName', value: 'other' }]);
    writeFileSync(tls.certificateFile, cert);
    entry.reloadCertificate();
    expect((await send(port)).fingerprint).toBe(before.fingerprint);
  });
});

describe('settings of the address for callers', () => {
  const parse = (callers: object) =>
    settingsSchema.safeParse({ ...createTestSettings(7_301), callers });

  it('allow plain HTTP on a non-loopback address only with plainText', () => {
    expect(parse({ host: '10.0.0.1', port: 80 }).error?.issues[0]).toMatchObject({
      path: ['callers', 'tls'],
      message: expect.stringContaining('callers.plainText') as string,
    });
    expect(parse({ host: '0.0.0.0', port: 80 }).success).toBe(false);
    expect(parse({ host: '10.0.0.1', port: 80, plainText: true }).success).toBe(true);
    expect(parse({ host: '127.0.0.1', port: 80 }).success).toBe(true);
    expect(
      parse({ host: '10.0.0.1', port: 443, tls: { certificateFile: 'c', keyFile: 'k' } }).success,
    ).toBe(true);
  });
});
