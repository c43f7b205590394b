import { createServer, type Server } from 'node:http';
import type { NetworkAddress } from '@savorywind/model';

const METRICS_PATH = '/metrics';
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * Serves metrics in the Prometheus text format. Needs no authentication, because its address is for
 * use within the installation.
 */
export class MetricsServer {
  private readonly server: Server;

  constructor(
    private readonly address: NetworkAddress,
    renderMetrics: () => string,
  ) {
    this.server = createServer((incoming, outgoing) => {
      const isMetricsPath = incoming.url === METRICS_PATH;
      outgoing.writeHead(isMetricsPath ? HTTP_OK : HTTP_NOT_FOUND, {
        'Content-Type': CONTENT_TYPE,
      });
      outgoing.end(isMetricsPath ? renderMetrics() : undefined);
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
