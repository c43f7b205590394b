import { createServer, connect } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

/** Bytes that went through to the platform and back, in the TCP payload. */
export interface CountingProxy {
  readonly port: number;
  readonly server: Server;
  countBytes(): number;
}

/** Hands connections on to a port of this machine and counts their bytes in both directions. */
export const startCountingProxy = (target: number): Promise<CountingProxy> =>
  new Promise((resolve) => {
    let bytes = 0;
    const server = createServer((client) => {
      const upstream = connect(target, '127.0.0.1');
      client.on('data', (part) => {
        bytes += part.length;
        upstream.write(part);
      });
      upstream.on('data', (part) => {
        bytes += part.length;
        client.write(part);
      });
      client.on('close', () => upstream.destroy());
      upstream.on('close', () => client.destroy());
      client.on('error', () => upstream.destroy());
      upstream.on('error', () => client.destroy());
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({ port, server, countBytes: () => bytes });
    });
  });
