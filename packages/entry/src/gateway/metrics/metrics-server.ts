import { createServer, type Server } from 'node:http';
import type { NetworkAddress } from '@savorywind/model';

const PATH = '/metrics';
const OK = 200;
const NOT_FOUND = 404;
const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Shows metrics as text, to whoever asks within the installation. */
export class MetricsServer {
  private readonly server: Server;

  constructor(
    private readonly address: NetworkAddress,
    render: () => string,
  ) {
    this.server = createServer((incoming, outgoing) => {
      const known = incoming.url === PATH;
      outgoing.writeHead(known ? OK : NOT_FOUND, { 'Content-Type': CONTENT_TYPE });
      outgoing.end(known ? render() : undefined);
    });
  }

  start(): Promise<void> {
    const { host, port } = this.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
