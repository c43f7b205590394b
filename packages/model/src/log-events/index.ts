import { configurationEvents } from './configuration-events.js';
import { gatewayEvents } from './gateway-events.js';
import { membershipEvents } from './membership-events.js';
import { orderEvents } from './order-events.js';
import { processEvents } from './process-events.js';
import { recoveryEvents } from './recovery-events.js';
import { requestEvents } from './request-events.js';

/** The catalogue of log events. docs/log-events.md is checked against it. */
export const logEvents = {
  ...processEvents,
  ...requestEvents,
  ...configurationEvents,
  ...membershipEvents,
  ...orderEvents,
  ...recoveryEvents,
  ...gatewayEvents,
} as const;

export type { LogEvent, LogFields, LogLevel } from './types.js';
