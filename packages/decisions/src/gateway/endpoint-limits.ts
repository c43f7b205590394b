import { logEvents, type EndpointId, type MonotonicMs } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import type { RequestLimitReport } from './types.js';

/** What was last observed of an endpoint's limit. */
interface LimitObservation {
  /** Requests per second from all entry VMs together; undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** A time at or after which the endpoint's response was made. */
  readonly observedAtMs: MonotonicMs;
}

/** What metrics show of the limits of endpoints. */
export interface LimitUsage {
  readonly limitedEndpoints: number;
  /** Attempts that this entry VM has started at endpoints while they had a limit. */
  readonly attempts: number;
}

/**
 * The limits of requests per second that endpoints name in their responses. A limit is in force from the
 * first response that names it until a response without it to an attempt that started later.
 *
 * @example
 * limits.report('engine-1', 1.5, startedAtMs);
 * limits.find('engine-1'); // 1.5
 */
export class EndpointLimits {
  private readonly observations = new Map<EndpointId, LimitObservation>();

  private attempts = 0;

  constructor(private readonly context: GatewayContext) {}

  get usage(): LimitUsage {
    const current = [...this.observations.values()];
    const limitedEndpoints = current.filter(({ perSecond }) => perSecond !== undefined).length;
    return { limitedEndpoints, attempts: this.attempts };
  }

  /**
   * Records what a response says.
   *
   * @param startedAtMs start of the attempt that got the response
   */
  report(endpoint: EndpointId, report: RequestLimitReport, startedAtMs: MonotonicMs): void {
    if (report === 'unreadable') {
      this.context.log(logEvents.endpointLimitUnreadable, { endpoint });
    } else if (report === 'none') {
      this.end(endpoint, startedAtMs);
    } else {
      this.set(endpoint, { perSecond: report, observedAtMs: this.context.nowMs });
    }
  }

  /** Finds the requests per second that an endpoint takes; undefined if it has named no limit. */
  find(endpoint: EndpointId): number | undefined {
    return this.observations.get(endpoint)?.perSecond;
  }

  recordAttempt(endpoint: EndpointId): void {
    if (this.find(endpoint) !== undefined) this.attempts += 1;
  }

  /** Forgets an endpoint that was removed, or restarted under the same id. */
  remove(endpoint: EndpointId): void {
    this.observations.delete(endpoint);
  }

  /**
   * Ends a limit if the attempt started after it was observed. The response to an earlier attempt may
   * have been made before the endpoint named the limit.
   */
  private end(endpoint: EndpointId, startedAtMs: MonotonicMs): void {
    const previous = this.observations.get(endpoint);
    if (previous?.perSecond === undefined || startedAtMs <= previous.observedAtMs) return;
    this.set(endpoint, { perSecond: undefined, observedAtMs: startedAtMs });
  }

  private set(endpoint: EndpointId, observation: LimitObservation): void {
    const previous = this.find(endpoint);
    this.observations.set(endpoint, observation);
    const { perSecond } = observation;
    if (perSecond === previous) return;
    if (perSecond === undefined) this.context.log(logEvents.endpointLimitEnded, { endpoint });
    else this.context.log(logEvents.endpointLimited, { endpoint, perSecond });
  }
}
