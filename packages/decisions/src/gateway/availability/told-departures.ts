import {
  logEvents,
  type EndpointId,
  type EntryVmId,
  type LeavingObservation,
  type MonotonicMs,
} from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointProcess } from '../types.js';

/** What a peer told of a process. */
interface ToldDeparture {
  readonly startedAtMs: number;
  readonly toldAtMs: MonotonicMs;
}

/**
 * Time for which the word of a peer counts. Peers repeat it in each snapshot, a few seconds apart in a large
 * fleet, so that a false one ends soon after its sender does.
 */
const TOLD_MEMORY_MS = 10_000;

/**
 * The endpoints that leave according to peers. Other endpoints are preferred to them, but the word of a peer
 * alone closes none: a false one can't empty a service. It counts only for the process that is known, so that a
 * late message does not concern its successor.
 */
export class ToldDepartures {
  private readonly told = new Map<EndpointId, ToldDeparture>();

  constructor(
    private readonly context: GatewayContext,
    private readonly table: EndpointTable,
  ) {}

  apply(from: EntryVmId, { endpoint, startedAtMs, ageMs }: LeavingObservation): void {
    if (this.table.findKnown(endpoint)?.startedAtMs !== startedAtMs) return;
    if (!this.isTold({ id: endpoint, startedAtMs }))
      this.context.log(logEvents.endpointLeavingTold, { endpoint, startedAtMs, from, ageMs });
    this.told.set(endpoint, { startedAtMs, toldAtMs: this.context.nowMs });
  }

  isTold({ id, startedAtMs }: EndpointProcess): boolean {
    const told = this.told.get(id);
    if (told === undefined || told.startedAtMs !== startedAtMs) return false;
    return this.context.nowMs < told.toldAtMs + TOLD_MEMORY_MS;
  }

  /** Forgets an endpoint that is over, or has started anew under the same id. */
  remove(endpoint: EndpointId): void {
    this.told.delete(endpoint);
  }
}
