import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@savorywind/model';
import { MS_PER_S, REQUEST_ID_HEADER } from './consts.js';

const UNAUTHORIZED = 401;

/** The JSON that a refused caller gets; the same shape for every result code. */
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

const createHeaders = (requestId: RequestId, refusal: Refusal): Record<string, string> => {
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

/** Answers with a refusal as a whole response. */
export const sendRefusal = (
  response: ServerResponse,
  requestId: RequestId,
  refusal: Refusal,
): void => {
  const body = JSON.stringify(formatRefusal(requestId, refusal));
  response.writeHead(refusal.code.httpStatus, {
    ...createHeaders(requestId, refusal),
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

/** Formats a refusal for a connection whose request could not be parsed. */
export const formatRawRefusal = (requestId: RequestId, refusal: Refusal): string => {
  const body = JSON.stringify(formatRefusal(requestId, refusal));
  const { httpStatus } = refusal.code;
  const headers = {
    ...createHeaders(requestId, refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus]}`, ...lines, '', body].join('\r\n');
};

/** Answers a request of the interface itself with JSON. */
export const sendJson = (response: ServerResponse, requestId: RequestId, value: object): void => {
  const body = JSON.stringify(value);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: requestId,
  });
  response.end(body);
};
