import type { EndpointNotice } from '@savorywind/decisions';
import type { GatewayEndpoint } from '@savorywind/model';
import type { DispatchGatewayEvent } from '../types.js';

/** Dispatches what a response says of its endpoint, unless it says nothing. */
export const reportNotice = (
  { id, startedAtMs }: GatewayEndpoint,
  notice: EndpointNotice | undefined,
  dispatch: DispatchGatewayEvent,
): void => {
  if (notice === undefined) return;
  if (notice.leaving === 'no' && notice.retryAfterMs === 'none') return;
  dispatch({ kind: 'endpoint.noticeReported', endpoint: { id, startedAtMs }, notice });
};
