import { logEvents } from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointNotice, EndpointProcess } from '../types.js';

export interface EndpointAvailabilityOptions {
  readonly context: GatewayContext;
}

/** Knows what endpoints say in their responses of their readiness for further requests. */
export class EndpointAvailability {
  constructor(private readonly options: EndpointAvailabilityOptions) {}

  /** Records what a response of an endpoint says. */
  report({ id }: EndpointProcess, { leaving, retryAfterMs }: EndpointNotice): void {
    if (leaving === 'unreadable') this.logUnreadable(id, 'leaving');
    if (retryAfterMs === 'unreadable') this.logUnreadable(id, 'retryAfter');
  }

  private logUnreadable(endpoint: string, field: string): void {
    this.options.context.log(logEvents.endpointNoticeUnreadable, { endpoint, field });
  }
}
