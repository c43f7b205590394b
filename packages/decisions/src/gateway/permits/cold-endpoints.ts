import {
  logEvents,
  type EndpointId,
  type FailureDomainId,
  type GatewayEndpoint,
  type MonotonicMs,
  type ServiceId,
} from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';

/** A process of an endpoint that is cold. */
interface ColdProcess {
  readonly sinceMs: MonotonicMs;
  untilMs: MonotonicMs;
  /** Attempts of this entry VM there since it is known to be cold. */
  attempts: number;
  timer: Timer;
}

export interface ColdEndpointsOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Returns for how long the endpoints of a service are cold after a start; undefined if they never are. */
  readonly findDurationMs: (service: ServiceId) => number | undefined;
}

/** What metrics show of cold endpoints. */
export interface ColdUsage {
  /** Cold endpoints, as far as this entry VM knows. */
  readonly coldEndpoints: number;
  /** Attempts that this entry VM has started at endpoints while they were cold. */
  readonly attempts: number;
  /** Longest time for which one of them stays cold, in milliseconds; 0 if there is none. */
  readonly coldForMs: number;
}

/**
 * The endpoints that are cold, by their registrations. What is known belongs to one process and ends with its
 * time, which counts from when the registration was received: it may have been written at any time since the
 * question was sent, so an earlier end could be wrong. A registration never ends the time of an earlier one,
 * because it may be the older of both.
 *
 * @example
 * cold.applyRegistrations([{ ...endpoint, coldForMs: 3_000 }]);
 * cold.findEndMs(endpoint.id); // three seconds from now
 */
export class ColdEndpoints {
  private readonly known = new Map<EndpointId, ColdProcess>();

  private attempts = 0;

  constructor(private readonly options: ColdEndpointsOptions) {}

  get usage(): ColdUsage {
    const { nowMs } = this.options.context;
    const leftMs = [...this.known.values()].map(({ untilMs }) => untilMs - nowMs);
    const coldForMs = Math.max(0, ...leftMs);
    return { coldEndpoints: this.known.size, attempts: this.attempts, coldForMs };
  }

  /** Applies registrations that the table of endpoints has just taken over. */
  applyRegistrations(endpoints: readonly GatewayEndpoint[]): void {
    endpoints.forEach((endpoint) => {
      const { coldForMs = 0 } = endpoint;
      if (coldForMs > 0 && this.options.table.isKnown(endpoint))
        this.setEnd(endpoint.id, coldForMs);
    });
  }

  /**
   * Treats the endpoints of a failure domain as just started, because they may be cold without that their
   * registrations say so yet.
   */
  recordRestart(domain: FailureDomainId): void {
    const { table, findDurationMs } = this.options;
    table.listIds().forEach((id) => {
      const { failureDomain, service } = table.find(id)!;
      const durationMs = findDurationMs(service) ?? 0;
      if (failureDomain === domain && durationMs > 0) this.setEnd(id, durationMs);
    });
  }

  /** Finds until when an endpoint is cold; undefined if it is not. */
  findEndMs(endpoint: EndpointId): MonotonicMs | undefined {
    const untilMs = this.known.get(endpoint)?.untilMs;
    return untilMs !== undefined && this.options.context.nowMs < untilMs ? untilMs : undefined;
  }

  recordAttempt(endpoint: EndpointId): void {
    const process = this.known.get(endpoint);
    if (process === undefined) return;
    process.attempts += 1;
    this.attempts += 1;
  }

  /** Forgets what is known of a process. */
  remove(endpoint: EndpointId): void {
    this.known.get(endpoint)?.timer.cancel();
    this.known.delete(endpoint);
  }

  private setEnd(endpoint: EndpointId, coldForMs: number): void {
    const { context } = this.options;
    const previous = this.known.get(endpoint);
    const untilMs = context.nowMs + coldForMs;
    if (previous !== undefined && untilMs <= previous.untilMs) return;
    previous?.timer.cancel();
    const timer = context.schedule(coldForMs, () => this.end(endpoint));
    if (previous === undefined) {
      this.known.set(endpoint, { sinceMs: context.nowMs, untilMs, attempts: 0, timer });
      context.log(logEvents.endpointCold, { endpoint, forMs: Math.round(coldForMs) });
    } else {
      previous.untilMs = untilMs;
      previous.timer = timer;
    }
  }

  private end(endpoint: EndpointId): void {
    const { context } = this.options;
    const process = this.known.get(endpoint);
    if (process === undefined) return;
    this.remove(endpoint);
    const { attempts, sinceMs } = process;
    const coldMs = Math.round(context.nowMs - sinceMs);
    context.log(logEvents.endpointWarm, { endpoint, coldMs, attempts });
  }
}
