import { logEvents } from '@savorywind/model';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayRecord } from './request-record.js';

/**
 * Writes where a request was given to endpoints. Called for requests that fail or are late: those
 * served in time, which are many, leave no line.
 */
export const logTrail = (context: GatewayContext, { trail }: GatewayRecord): void => {
  trail.splice(0).forEach(({ atMs, fields }) => {
    context.log(logEvents.requestPlaced, { ...fields, agoMs: Math.round(context.nowMs - atMs) });
  });
};
