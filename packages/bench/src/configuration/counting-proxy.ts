import { createServer, connect } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

/** A running proxy. `countBytes` returns the TCP payload bytes of both directions so far. */
export interface CountingProxy {
  readonly port: number;
  readonly server: Server;
  countBytes(): number;
}

/** Starts a proxy that forwards TCP connections to a local port and counts their bytes. */
export const startCountingProxy = (targetPort: number): Promise<CountingProxy> =>
  new Promise((resolve) => {
    let bytes = 0;
    const server = createServer((client) => {
      const upstream = connect(targetPort, '127.0.0.1');
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
