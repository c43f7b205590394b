import type { EndpointId, GatewayEndpoint } from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import { PROBE_TIMEOUT_MS } from './consts.js';
import type { ProbeOutcome } from './probe-round.js';

/** Consecutive probes that fail if an endpoint can't be connected to; one may be lost. */
const FAILURES_IF_UNREACHABLE = 2;

/**
 * Tells whether single endpoints can still be connected to that send nothing.
 *
 * @example
 * probes.probe(endpoint); // emits `path.probe`
 * probes.recordOutcome(endpoint.id, 'failed');
 * probes.isUnreachable(endpoint.id); // false: one probe may be lost
 */
export class EndpointProbes {
  /** Probes that have failed since one connected, of the endpoints that were probed. */
  private readonly failures = new Map<EndpointId, number>();

  constructor(private readonly context: GatewayContext) {}

  probe(endpoint: GatewayEndpoint): void {
    if (!this.failures.has(endpoint.id)) this.failures.set(endpoint.id, 0);
    this.context.emit({ kind: 'path.probe', endpoint, timeoutMs: PROBE_TIMEOUT_MS });
  }

  /** Records the outcome of a probe; those of other endpoints are ignored. */
  recordOutcome(endpoint: EndpointId, outcome: ProbeOutcome): void {
    const failures = this.failures.get(endpoint);
    if (failures === undefined || outcome === 'unknown') return;
    this.failures.set(endpoint, outcome === 'failed' ? failures + 1 : 0);
  }

  isUnreachable(endpoint: EndpointId): boolean {
    return (this.failures.get(endpoint) ?? 0) >= FAILURES_IF_UNREACHABLE;
  }

  remove(endpoint: EndpointId): void {
    this.failures.delete(endpoint);
  }
}
