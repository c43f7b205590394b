import type { Server } from 'node:http';
import type { NetworkAddress } from '@savorywind/model';
import type { Containment } from '../runtime/containment.js';
import { createStatusServer } from './status-server.js';
import { openAddress } from './open-address.js';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** Answers the load balancer's health checks: whether this entry VM accepts requests. */
export class ReadinessServer {
  private readonly server: Server;

  private isReady = false;

  constructor(
    private readonly address: NetworkAddress,
    path: string,
    private readonly containment: Containment,
  ) {
    this.server = createStatusServer((incoming, outgoing) => {
      const isReadinessPath = incoming.url === path;
      const status = this.isReady ? HTTP_OK : HTTP_UNAVAILABLE;
      outgoing.writeHead(isReadinessPath ? status : HTTP_NOT_FOUND, { 'Content-Length': '0' });
      outgoing.end();
    });
  }

  start(): Promise<void> {
    return openAddress(this.server, this.address, (error) =>
      this.containment.record({ work: 'readiness.accept', owner: 'request' }, error),
    );
  }

  setReady(isReady: boolean): void {
    this.isReady = isReady;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
