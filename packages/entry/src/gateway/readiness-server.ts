import { createServer, type Server } from 'node:http';
import type { NetworkAddress } from '@savorywind/model';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Tells the balancer whether this entry VM takes requests. */
export class ReadinessServer {
  private readonly server: Server;

  private ready = false;

  constructor(
    private readonly address: NetworkAddress,
    path: string,
  ) {
    this.server = createServer((incoming, outgoing) => {
      const known = incoming.url === path;
      const status = this.ready ? OK : UNAVAILABLE;
      outgoing.writeHead(known ? status : NOT_FOUND, { 'Content-Length': '0' });
      outgoing.end();
    });
  }

  start(): Promise<void> {
    const { host, port } = this.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  setReady(ready: boolean): void {
    this.ready = ready;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
