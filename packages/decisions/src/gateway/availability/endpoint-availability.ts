import {
  logEvents,
  type EndpointId,
  type GatewayEndpoint,
  type MonotonicMs,
  type ServiceId,
} from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointNotice, EndpointProcess } from '../types.js';
import { LeavingEndpoints } from './leaving-endpoints.js';

/** Why an endpoint may not be sent anything. */
export type UnavailableReason =
  | 'unregistered'
  /** By its registration or by its own responses. */
  | 'leaving';

/** Whether this entry VM may send an endpoint something new now. */
export type Availability =
  | { readonly allowed: true }
  | {
      readonly allowed: false;
      readonly reason: UnavailableReason;
      /** When it may be allowed again; undefined if that is not known. */
      readonly untilMs: MonotonicMs | undefined;
    };

export interface EndpointAvailabilityOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Called when an endpoint may not be sent anything from now on. */
  readonly onClosed: (endpoint: EndpointId) => void;
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
  private readonly leaving: LeavingEndpoints;

  constructor(private readonly options: EndpointAvailabilityOptions) {
    const { context, table } = options;
    this.leaving = new LeavingEndpoints({
      context,
      table,
      onLeaving: (endpoint) => this.reportClosed(endpoint),
    });
  }

  /** Records what a response of an endpoint says. */
  report(process: EndpointProcess, { leaving, retryAfterMs }: EndpointNotice): void {
    if (leaving === 'unreadable') this.logUnreadable(process.id, 'leaving');
    if (retryAfterMs === 'unreadable') this.logUnreadable(process.id, 'retryAfter');
    if (leaving === 'yes') this.leaving.report(process);
  }

  check(id: EndpointId): Availability {
    const endpoint = this.options.table.find(id);
    if (endpoint === undefined)
      return { allowed: false, reason: 'unregistered', untilMs: undefined };
    if (endpoint.state === 'leaving' || this.leaving.isLeaving(endpoint))
      return { allowed: false, reason: 'leaving', untilMs: undefined };
    return ALLOWED;
  }

  isOpen(id: EndpointId): boolean {
    return this.check(id).allowed;
  }

  /** Lists the endpoints of a service that may be sent something. */
  listOpen(service: ServiceId): GatewayEndpoint[] {
    return this.options.table.listServing(service).filter(({ id }) => this.isOpen(id));
  }

  /** Forgets what concerns an endpoint that was removed, or restarted under the same id. */
  remove(endpoint: EndpointId): void {
    this.leaving.remove(endpoint);
  }

  /** A response of an earlier process under the same id closes nothing. */
  private reportClosed(endpoint: EndpointId): void {
    if (!this.isOpen(endpoint)) this.options.onClosed(endpoint);
  }

  private logUnreadable(endpoint: EndpointId, field: string): void {
    this.options.context.log(logEvents.endpointNoticeUnreadable, { endpoint, field });
  }
}
