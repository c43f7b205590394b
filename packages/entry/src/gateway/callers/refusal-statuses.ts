import type { GatewayRefusalReason } from '@savorywind/decisions';

/**
 * Status of each answer of the gateway's own. 503 promises that the request has not run and never
 * will; 502 and 504 promise nothing.
 */
export const REFUSAL_STATUS: Readonly<Record<GatewayRefusalReason, number>> = {
  noRoute: 404,
  wrongCredential: 401,
  notReady: 503,
  credentialsStale: 503,
  noEndpoint: 503,
  noRoom: 503,
  rejected: 503,
  broken: 502,
  timeout: 504,
};
