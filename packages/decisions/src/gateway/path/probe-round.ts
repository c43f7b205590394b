import type { EndpointId } from '@savorywind/model';

/** How an attempt to open a connection to an endpoint ended; `unknown` proves nothing of the path. */
export type ProbeOutcome = 'connected' | 'failed' | 'unknown';

/**
 * The outcomes of one round of probes.
 *
 * @example
 * const round = new ProbeRound(['engine-1', 'engine-2']);
 * round.record('engine-1', 'failed');
 * round.record('engine-2', 'connected');
 * round.isComplete; // true
 */
export class ProbeRound {
  private readonly pending: Set<EndpointId>;

  private readonly counts: Record<ProbeOutcome, number> = { connected: 0, failed: 0, unknown: 0 };

  constructor(endpoints: readonly EndpointId[]) {
    this.pending = new Set(endpoints);
  }

  record(endpoint: EndpointId, outcome: ProbeOutcome): void {
    if (this.pending.delete(endpoint)) this.counts[outcome] += 1;
  }

  get isComplete(): boolean {
    return this.pending.size === 0;
  }

  /** Whether at least one probe failed and none connected. */
  get hasFailed(): boolean {
    return this.counts.failed > 0 && this.counts.connected === 0;
  }

  /** Whether at least as many probes connected as failed. */
  get hasSucceeded(): boolean {
    return this.counts.connected > 0 && this.counts.connected >= this.counts.failed;
  }

  get failed(): number {
    return this.counts.failed;
  }
}
