import type { EndpointNotice, EndpointProcess, GatewayEvent } from '@savorywind/decisions';

/**
 * Lists the event with what a response says of its endpoint, if it says anything.
 *
 * @example
 * listNotices(endpoint, { leaving: 'yes', retryAfterMs: 'none' }).forEach(dispatch);
 */
export const listNotices = (
  { id, startedAtMs }: EndpointProcess,
  notice: EndpointNotice | undefined,
): GatewayEvent[] => {
  if (notice === undefined) return [];
  if (notice.leaving === 'no' && notice.retryAfterMs === 'none') return [];
  return [{ kind: 'endpoint.noticeReported', endpoint: { id, startedAtMs }, notice }];
};
