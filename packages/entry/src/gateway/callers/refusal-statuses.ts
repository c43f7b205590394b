import type { GatewayRefusalReason } from '@savorywind/decisions';

/**
 * HTTP status of each error response that the gateway creates itself. 503 guarantees that the request
 * has not run and will not run; after 502 or 504 it may have run.
 */
export const REFUSAL_STATUS: Readonly<Record<GatewayRefusalReason, number>> = {
  noRoute: 404,
  wrongCredential: 401,
  notReady: 503,
  credentialsStale: 503,
  misconfigured: 503,
  noEndpoint: 503,
  endpointsClosed: 503,
  noRoom: 503,
  rejected: 503,
  harmful: 503,
  tooManyParts: 431,
  stopping: 503,
  broken: 502,
  timeout: 504,
};
