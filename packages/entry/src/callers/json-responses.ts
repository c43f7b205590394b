import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@savorywind/model';
import { MS_PER_S, REQUEST_ID_HEADER } from './consts.js';

const UNAUTHORIZED = 401;

/** Formats the JSON error body of a refused request, which has the same shape for all result codes. */
export const formatRefusal = (requestId: RequestId, refusal: Refusal): object => ({
  error: {
    code: refusal.code.code,
    type: refusal.code.name,
    message: refusal.code.message,
    hint: refusal.code.hint,
    detail: refusal.detail,
    ran: refusal.ran,
    requestId,
  },
});

const createRefusalHeaders = (requestId: RequestId, refusal: Refusal): Record<string, string> => {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: requestId,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / MS_PER_S));
  }
  if (refusal.code.httpStatus === UNAUTHORIZED) headers['www-authenticate'] = 'Bearer';
  return headers;
};

/** Sends a refusal as a complete response. */
export const sendRefusal = (
  response: ServerResponse,
  requestId: RequestId,
  refusal: Refusal,
): void => {
  const body = JSON.stringify(formatRefusal(requestId, refusal));
  response.writeHead(refusal.code.httpStatus, {
    ...createRefusalHeaders(requestId, refusal),
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

/**
 * Formats a complete HTTP/1.1 response for a raw socket, for requests that have no ServerResponse:
 * those that could not be parsed, and CONNECT requests.
 */
export const formatRawRefusal = (requestId: RequestId, refusal: Refusal): string => {
  const body = JSON.stringify(formatRefusal(requestId, refusal));
  const { httpStatus } = refusal.code;
  const headers = {
    ...createRefusalHeaders(requestId, refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus]}`, ...lines, '', body].join('\r\n');
};

/** Sends a JSON response with status 200, for requests that are answered without an endpoint. */
export const sendJson = (response: ServerResponse, requestId: RequestId, value: object): void => {
  const body = JSON.stringify(value);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: requestId,
  });
  response.end(body);
};
