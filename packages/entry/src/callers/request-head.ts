import type { IncomingMessage } from 'node:http';
import { resultCodes, type Refusal } from '@savorywind/model';
import { IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER } from './consts.js';

/** Headers of which a second one could be read differently here and behind. */
const SINGLE_HEADERS = new Set([
  'authorization',
  'content-length',
  'content-type',
  'expect',
  'host',
  IDEMPOTENCY_KEY_HEADER,
  'transfer-encoding',
  TIMEOUT_HEADER,
]);

const listNames = (rawHeaders: readonly string[]): string[] =>
  rawHeaders.filter((_value, index) => index % 2 === 0).map((name) => name.toLowerCase());

const findDoubled = (names: readonly string[]): string | undefined => {
  const seen = new Set<string>();
  return names.find((name) => {
    if (!SINGLE_HEADERS.has(name)) return false;
    if (seen.has(name)) return true;
    seen.add(name);
    return false;
  });
};

/**
 * Checks what the HTTP parser lets through: doubled headers, and HTTP/1.1 without a host.
 *
 * @returns the refusal, or undefined where the head is sound
 */
export const checkHead = (request: IncomingMessage): Refusal | undefined => {
  const names = listNames(request.rawHeaders);
  const doubled = findDoubled(names);
  if (doubled !== undefined) {
    return { code: resultCodes.doubledHeader, ran: 'no', detail: doubled };
  }
  if (request.httpVersion === '1.1' && !names.includes('host')) {
    return { code: resultCodes.malformedRequest, ran: 'no', detail: 'Host is missing' };
  }
  return undefined;
};
