import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { OpenRequests } from '../src/callers/open-requests.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n';

let closeServer = (): void => {};

afterEach(() => closeServer());

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await delay(5);
};

describe('the open requests of a server', () => {
  it('do not include those that were queued on a connection that has closed', async () => {
    const openRequests = new OpenRequests();
    let received = 0;
    const server = createServer((_request, response) => {
      received += 1;
      openRequests.add(response);
    });
    closeServer = () => server.close();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1', () => socket.write(REQUEST.repeat(3)));
    await waitUntil(() => received === 3);
    let isIdle = false;
    openRequests.waitIdle(() => {
      isIdle = true;
    });
    expect(isIdle).toBe(false);
    socket.destroy();
    await waitUntil(() => isIdle);
  });
});
