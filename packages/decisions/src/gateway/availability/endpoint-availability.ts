import {
  logEvents,
  type AttemptId,
  type EndpointId,
  type EntryVmId,
  type FailureDomainId,
  type GatewayEndpoint,
  type LeavingObservation,
  type MonotonicMs,
  type ServiceId,
} from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointNotice, EndpointProcess } from '../types.js';
import { EndpointClosures } from './endpoint-closures.js';
import { EvacuatedDomains } from './evacuated-domains.js';
import { LeavingEndpoints } from './leaving-endpoints.js';
import { ToldDepartures } from './told-departures.js';

/** Why an endpoint may not be sent anything. */
export type UnavailableReason =
  | 'unregistered'
  /** The operator has its failure domain evacuated. */
  | 'evacuated'
  /** By its registration or by its own responses. */
  | 'leaving'
  /** It has named a time to come back that is not over. */
  | 'closed'
  /** That time is over, and it has not answered the first requests after it yet. */
  | 'returning';

/** Whether this entry VM may send an endpoint something new now. */
export type Availability =
  | { readonly allowed: true }
  | {
      readonly allowed: false;
      readonly reason: UnavailableReason;
      /** When it may be allowed again at the earliest; undefined if that is not known. */
      readonly untilMs: MonotonicMs | undefined;
    };

/** What metrics show of the endpoints that may not be sent anything. */
export interface AvailabilityUsage {
  /** Registered endpoints by the reason for which they are not available. */
  readonly unavailable: Readonly<Record<Exclude<UnavailableReason, 'unregistered'>, number>>;
  /** Processes that have told this VM in a response that they leave. */
  readonly departures: number;
  /** Times to come back that endpoints have named to this VM. */
  readonly closures: number;
  /** Fields of notices that could not be decoded. */
  readonly unreadable: number;
}

export interface EndpointAvailabilityOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Time after an older copy of the store by which the operator has written again, in milliseconds. */
  readonly rewriteMs: number;
  /** Called when an endpoint may not be sent anything from now on. */
  readonly onClosed: (endpoint: EndpointId) => void;
  /** Called when the evacuation of a failure domain has ended, before {@link onEvacuationChanged}. */
  readonly onEvacuationEnded: (domain: FailureDomainId) => void;
  /** Called when the evacuation of failure domains has begun or ended. */
  readonly onEvacuationChanged: () => void;
}

const ALLOWED: Availability = { allowed: true };

/**
 * Answers whether this entry VM may send an endpoint something new now: requests, roles in the prefill of
 * others, and reservations. What already runs there is not concerned.
 *
 * @example
 * availability.report(endpoint, { leaving: 'yes', retryAfterMs: 'none' });
 * availability.check(endpoint.id); // { allowed: false, reason: 'leaving', untilMs: undefined }
 */
export class EndpointAvailability {
  /** The failure domains that the operator has evacuated. */
  readonly evacuated: EvacuatedDomains;

  private readonly leaving: LeavingEndpoints;

  private readonly closures: EndpointClosures;

  private readonly told: ToldDepartures;

  private unreadable = 0;

  constructor(private readonly options: EndpointAvailabilityOptions) {
    const { context, table, rewriteMs } = options;
    this.evacuated = new EvacuatedDomains({
      context,
      rewriteMs,
      onEnded: (domain) => options.onEvacuationEnded(domain),
      onChanged: () => options.onEvacuationChanged(),
    });
    this.leaving = new LeavingEndpoints({
      context,
      table,
      onLeaving: (endpoint) => this.reportClosed(endpoint),
    });
    this.told = new ToldDepartures(context, table);
    this.closures = new EndpointClosures({
      context,
      table,
      onClosed: (endpoint) => this.reportClosed(endpoint),
    });
  }

  get usage(): AvailabilityUsage {
    const unavailable = { evacuated: 0, leaving: 0, closed: 0, returning: 0 };
    this.options.table.listIds().forEach((id) => {
      const answer = this.check(id);
      if (!answer.allowed && answer.reason !== 'unregistered') unavailable[answer.reason] += 1;
    });
    const { unreadable } = this;
    const { reported: departures } = this.leaving;
    return { unavailable, departures, closures: this.closures.begun, unreadable };
  }

  /** Records what a response of an endpoint says. */
  report(process: EndpointProcess, { leaving, retryAfterMs }: EndpointNotice): void {
    if (leaving === 'unreadable') this.logUnreadable(process.id, 'leaving');
    if (retryAfterMs === 'unreadable') this.logUnreadable(process.id, 'retryAfter');
    if (leaving === 'yes') this.leaving.report(process);
    if (typeof retryAfterMs === 'number') this.closures.report(process, retryAfterMs);
  }

  check(id: EndpointId): Availability {
    const endpoint = this.options.table.find(id);
    if (endpoint === undefined)
      return { allowed: false, reason: 'unregistered', untilMs: undefined };
    if (this.isEvacuated(endpoint))
      return { allowed: false, reason: 'evacuated', untilMs: undefined };
    if (endpoint.state === 'leaving' || this.leaving.isLeaving(endpoint))
      return { allowed: false, reason: 'leaving', untilMs: undefined };
    return this.checkClosure(endpoint);
  }

  /** Whether nothing may be sent to an endpoint, not even a probe, because its failure domain is evacuated. */
  isEvacuated({ failureDomain }: Pick<GatewayEndpoint, 'failureDomain'>): boolean {
    return this.evacuated.has(failureDomain);
  }

  /** Whether a service has endpoints that serve, and all of them are in evacuated failure domains. */
  isServiceEvacuated(service: ServiceId): boolean {
    const serving = this.options.table.listServing(service);
    return serving.length > 0 && serving.every((endpoint) => this.isEvacuated(endpoint));
  }

  isOpen(id: EndpointId): boolean {
    return this.check(id).allowed;
  }

  /**
   * Lists the endpoints of a service that may be sent something. Those that leave according to peers are
   * listed only if there are no others.
   */
  listOpen(service: ServiceId): GatewayEndpoint[] {
    const open = this.options.table.listServing(service).filter(({ id }) => this.isOpen(id));
    const preferred = open.filter((endpoint) => !this.told.isTold(endpoint));
    return preferred.length > 0 ? preferred : open;
  }

  /** Lists the endpoints that have told this entry VM that they leave, for the peers. */
  listObservations(): LeavingObservation[] | undefined {
    return this.leaving.listObservations();
  }

  /** Applies what a peer says of endpoints that leave. */
  applyObservations(from: EntryVmId, observations: readonly LeavingObservation[]): void {
    observations.forEach((observation) => this.told.apply(from, observation));
  }

  /**
   * Finds the earliest time at which any endpoint of a service may be sent something; undefined if one may
   * now, or if none will as far as known.
   */
  findOpeningMs(service: ServiceId): MonotonicMs | undefined {
    const answers = this.options.table.listServing(service).map(({ id }) => this.check(id));
    if (answers.some(({ allowed }) => allowed)) return undefined;
    const times = answers.flatMap((answer) => (answer.allowed ? [] : (answer.untilMs ?? [])));
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Records that an attempt was started that endpoints take part in, helpers included. */
  recordStart(attemptId: AttemptId, endpoints: readonly GatewayEndpoint[]): void {
    endpoints.forEach(({ id }) => this.closures.recordStart(attemptId, id));
  }

  recordResponse(attemptId: AttemptId): void {
    this.closures.recordResponse(attemptId);
  }

  recordEnd(attemptId: AttemptId): void {
    this.closures.recordEnd(attemptId);
  }

  /** Counts time that the clock missed. */
  addLostTime(lostMs: number): void {
    this.closures.addLostTime(lostMs);
    this.evacuated.addLostTime(lostMs);
  }

  /** Forgets what concerns an endpoint that is over, or has started anew under the same id. */
  remove(endpoint: EndpointId): void {
    this.leaving.remove(endpoint);
    this.closures.remove(endpoint);
    this.told.remove(endpoint);
  }

  private checkClosure(endpoint: GatewayEndpoint): Availability {
    const untilMs = this.closures.findOpeningMs(endpoint);
    if (untilMs === undefined) return ALLOWED;
    const reason = untilMs > this.options.context.nowMs ? 'closed' : 'returning';
    return { allowed: false, reason, untilMs };
  }

  /** A response of an earlier process under the same id closes nothing. */
  private reportClosed(endpoint: EndpointId): void {
    if (!this.isOpen(endpoint)) this.options.onClosed(endpoint);
  }

  private logUnreadable(endpoint: EndpointId, field: string): void {
    this.unreadable += 1;
    this.options.context.log(logEvents.endpointNoticeUnreadable, { endpoint, field });
  }
}
