import type { Server, ServerResponse } from 'node:http';
import type { NetworkAddress } from '@savorywind/model';
import type { Containment } from '../../runtime/containment.js';
import { createStatusServer } from '../status-server.js';
import { openAddress } from '../open-address.js';

const METRICS_PATH = '/metrics';
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_INTERNAL_ERROR = 500;
const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * Time for which rendered metrics are given to all who ask, in milliseconds, so that the processor time that they
 * take does not follow from how many ask.
 */
const MAX_TEXT_AGE_MS = 100;

/**
 * Serves metrics in the Prometheus text format. Needs no authentication, because its address is for
 * use within the installation.
 */
export class MetricsServer {
  private readonly server: Server;

  private text = '';

  private renderedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly address: NetworkAddress,
    private readonly renderMetrics: () => string,
    private readonly containment: Containment,
  ) {
    this.server = createStatusServer((incoming, outgoing) => {
      if (incoming.url === METRICS_PATH) this.answer(outgoing);
      else outgoing.writeHead(HTTP_NOT_FOUND).end();
    });
  }

  start(): Promise<void> {
    return openAddress(this.server, this.address, (error) =>
      this.containment.record({ work: 'metrics.accept', owner: 'observation' }, error),
    );
  }

  /** Metrics that can't be rendered cost one answer. */
  private answer(outgoing: ServerResponse): void {
    this.containment.run(
      { work: 'metrics.render', owner: 'observation' },
      () => {
        this.updateText();
        outgoing.writeHead(HTTP_OK, { 'Content-Type': CONTENT_TYPE }).end(this.text);
      },
      () => outgoing.writeHead(HTTP_INTERNAL_ERROR).end(),
    );
  }

  private updateText(): void {
    const nowMs = performance.now();
    if (nowMs - this.renderedAtMs < MAX_TEXT_AGE_MS) return;
    this.text = this.renderMetrics();
    this.renderedAtMs = performance.now();
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
