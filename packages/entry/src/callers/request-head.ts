import type { IncomingMessage } from 'node:http';
import { resultCodes, type Refusal } from '@savorywind/model';
import { IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER } from './consts.js';

/**
 * Headers that may occur only once. This process and the endpoint behind it could each use a different
 * one of two values, which enables request smuggling.
 */
const SINGLETON_HEADERS = new Set([
  'authorization',
  'content-length',
  'content-type',
  'expect',
  'host',
  IDEMPOTENCY_KEY_HEADER,
  'transfer-encoding',
  TIMEOUT_HEADER,
]);

const listHeaderNames = (rawHeaders: readonly string[]): string[] =>
  rawHeaders.filter((_value, index) => index % 2 === 0).map((name) => name.toLowerCase());

const findDuplicate = (names: readonly string[]): string | undefined => {
  const seen = new Set<string>();
  return names.find((name) => {
    if (!SINGLETON_HEADERS.has(name)) return false;
    if (seen.has(name)) return true;
    seen.add(name);
    return false;
  });
};

/**
 * Rejects request heads that Node's HTTP parser accepts: duplicate singleton headers, and HTTP/1.1
 * requests without a Host header.
 *
 * @returns the refusal, or undefined if the head is valid
 */
export const checkRequestHead = (request: IncomingMessage): Refusal | undefined => {
  const names = listHeaderNames(request.rawHeaders);
  const duplicate = findDuplicate(names);
  if (duplicate !== undefined) {
    return { code: resultCodes.doubledHeader, ran: 'no', detail: duplicate };
  }
  if (request.httpVersion === '1.1' && !names.includes('host')) {
    return { code: resultCodes.malformedRequest, ran: 'no', detail: 'Host is missing' };
  }
  return undefined;
};
