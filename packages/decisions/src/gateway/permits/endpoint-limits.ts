import {
  logEvents,
  type EndpointId,
  type LimitObservation,
  type MonotonicMs,
} from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointProcess, RequestLimitReport } from '../types.js';

/** What is known of an endpoint's limit. */
interface KnownLimit {
  /** Requests per second from all entry VMs together; undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time of the observation; for an end, the start of the attempt whose response named no limit. */
  readonly observedAtMs: MonotonicMs;
  /** Until when an end is reported to peers. */
  reportedUntilMs: MonotonicMs;
}

export interface EndpointLimitsOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Called when a response of an endpoint starts, changes or ends its limit. */
  readonly onChanged: () => void;
}

/** What metrics show of the limits of endpoints. */
export interface LimitUsage {
  /** Registered endpoints that have a limit. */
  readonly limitedEndpoints: number;
  /** Attempts that this entry VM has started at endpoints while they had a limit. */
  readonly attempts: number;
}

/**
 * Time for which the end of a limit is reported to peers. Each of them gets several snapshots in it, also
 * in a large fleet.
 */
const END_REPORT_MS = 10_000;

/**
 * The limits of requests per second that endpoints name in their responses. A limit is in force from the
 * first response that names it until a response without it to an attempt that started later. What peers
 * observed counts the same; of two observations that differ, the newer one counts. It belongs to the process
 * that named it, whether or not its registration lapses meanwhile.
 *
 * @example
 * limits.report({ id: 'engine-1', startedAtMs: 5 }, 1.5, attemptedAtMs);
 * limits.find('engine-1'); // 1.5
 */
export class EndpointLimits {
  private readonly known = new Map<EndpointId, KnownLimit>();

  private attempts = 0;

  constructor(private readonly options: EndpointLimitsOptions) {}

  get usage(): LimitUsage {
    const limited = this.listRegistered().filter(([, { perSecond }]) => perSecond !== undefined);
    return { limitedEndpoints: limited.length, attempts: this.attempts };
  }

  /** Whether any endpoint has had a limit. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /**
   * Records what a response says. That of a process which is over concerns no other one.
   *
   * @param attemptedAtMs start of the attempt that got the response
   */
  report(process: EndpointProcess, report: RequestLimitReport, attemptedAtMs: MonotonicMs): void {
    if (!this.options.table.isKnown(process)) return;
    const { id: endpoint } = process;
    if (report === 'unreadable') {
      this.options.context.log(logEvents.endpointLimitUnreadable, { endpoint });
      return;
    }
    const hasChanged =
      report === 'none'
        ? this.end(endpoint, attemptedAtMs)
        : this.set(endpoint, report, this.options.context.nowMs);
    if (hasChanged) this.options.onChanged();
  }

  /** Applies what a peer knows of a process, if this entry VM knows the same one. */
  applyObservation({ endpoint, perSecond, ageMs, startedAtMs }: LimitObservation): void {
    if (!this.options.table.isKnown({ id: endpoint, startedAtMs })) return;
    const observedAtMs = this.options.context.nowMs - ageMs;
    const previous = this.known.get(endpoint);
    // The time of the same observation is not renewed: it would become later on each way back and forth.
    if (previous === undefined ? perSecond === undefined : previous.perSecond === perSecond) return;
    if (previous === undefined || observedAtMs > previous.observedAtMs)
      this.set(endpoint, perSecond, observedAtMs);
    else previous.reportedUntilMs = this.options.context.nowMs + END_REPORT_MS;
  }

  /**
   * Counts time that the clock missed towards the age of ends. A limit in force is not moved back: that
   * could let an older end replace it, if the time was a step of the wall clock.
   */
  addLostTime(lostMs: number): void {
    this.known.forEach((limit, endpoint) => {
      if (limit.perSecond !== undefined) return;
      this.known.set(endpoint, { ...limit, observedAtMs: limit.observedAtMs - lostMs });
    });
  }

  /** Finds the requests per second that an endpoint takes; undefined if it has no limit. */
  find(endpoint: EndpointId): number | undefined {
    return this.known.get(endpoint)?.perSecond;
  }

  /** Describes what is known of an endpoint's limit, for a peer. */
  describe(endpoint: EndpointId): LimitObservation {
    const { perSecond, observedAtMs } = this.known.get(endpoint) ?? {};
    const ageMs = Math.round(
      this.options.context.nowMs - (observedAtMs ?? this.options.context.nowMs),
    );
    const startedAtMs = this.options.table.findKnown(endpoint)?.startedAtMs;
    return { endpoint, perSecond, ageMs, startedAtMs };
  }

  /** Lists the limits in force and those that ended not long ago, of registered endpoints, for the peers. */
  listObservations(): LimitObservation[] {
    const { nowMs } = this.options.context;
    return this.listRegistered()
      .filter(([, limit]) => limit.perSecond !== undefined || nowMs < limit.reportedUntilMs)
      .map(([endpoint]) => this.describe(endpoint));
  }

  recordAttempt(endpoint: EndpointId): void {
    if (this.find(endpoint) !== undefined) this.attempts += 1;
  }

  /** Forgets the limit of a process. */
  remove(endpoint: EndpointId): void {
    this.known.delete(endpoint);
  }

  private listRegistered(): [EndpointId, KnownLimit][] {
    return [...this.known].filter(([id]) => this.options.table.find(id) !== undefined);
  }

  /**
   * Ends a limit if the attempt started after it was observed. The response to an earlier attempt may
   * have been made before the endpoint named the limit.
   */
  private end(endpoint: EndpointId, attemptedAtMs: MonotonicMs): boolean {
    const previous = this.known.get(endpoint);
    if (previous?.perSecond === undefined || attemptedAtMs <= previous.observedAtMs) return false;
    return this.set(endpoint, undefined, attemptedAtMs);
  }

  /** @returns whether the limit differs from the previous one */
  private set(
    endpoint: EndpointId,
    perSecond: number | undefined,
    observedAtMs: MonotonicMs,
  ): boolean {
    const previous = this.find(endpoint);
    const reportedUntilMs = this.options.context.nowMs + END_REPORT_MS;
    this.known.set(endpoint, { perSecond, observedAtMs, reportedUntilMs });
    if (perSecond === previous) return false;
    if (perSecond === undefined)
      this.options.context.log(logEvents.endpointLimitEnded, { endpoint });
    else this.options.context.log(logEvents.endpointLimited, { endpoint, perSecond });
    return true;
  }
}
