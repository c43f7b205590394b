import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { startTestRequestServer, type TestRequestServer } from '../fixtures/test-request-server.js';
import { ThrownErrors } from '../fixtures/thrown-errors.js';

const CONNECT = 'CONNECT a.example:443 HTTP/1.1\r\nHost: a.example\r\n\r\n';
const UPGRADE =
  'GET /a HTTP/1.1\r\nHost: a.example\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n';

/** Connections that are reset at slightly different moments. */
const CONNECTIONS = 40;

let server: TestRequestServer;
let thrown: ThrownErrors;

beforeEach(async () => {
  server = await startTestRequestServer();
  thrown = new ThrownErrors();
});

afterEach(() => {
  server.stop();
  thrown.stop();
});

/** Sends bytes and resets the connection so soon that a response can't be written any more. */
const sendAndReset = async (bytes: string, afterMs: number): Promise<void> => {
  const socket = connect(server.port, '127.0.0.1');
  socket.on('error', () => {});
  await new Promise<void>((resolve) => {
    socket.once('connect', resolve);
  });
  socket.write(bytes);
  await delay(afterMs);
  socket.resetAndDestroy();
};

// The HTTP server takes its own listeners off such a connection, among them that of errors.
it.each([
  ['CONNECT', CONNECT],
  ['a request to change the protocol', UPGRADE],
])('a reset behind %s ends no process', async (_name, bytes) => {
  for (let index = 0; index < CONNECTIONS; index += 1) await sendAndReset(bytes, index % 3);
  await delay(100);
  expect(thrown.errors).toEqual([]);
});
