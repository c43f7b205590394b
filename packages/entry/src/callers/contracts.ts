import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import {
  Err,
  Ok,
  resultCodes,
  type Idempotency,
  type ModelContract,
  type ModelDeclaration,
  type Refusal,
  type Result,
  type ServiceContract,
  type ServiceDeclaration,
} from '@savorywind/model';
import { IDEMPOTENCY_KEY_HEADER, MS_PER_S, TIMEOUT_HEADER } from './consts.js';
import type { ModelAsk } from './models/types.js';
import { hashPrefixes } from './prefix-digests.js';
import type { ServicePath } from './services/service-path.js';
import type { Arrival } from './types.js';

const TIMEOUT_SYNTAX = /^\d{1,9}(\.\d{1,6})?$/;
const KEY_SYNTAX = /^[\x21-\x7e]{1,255}$/;

/** Reads a header that the request head check lets through once at most. */
const readHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
};

/**
 * Reads the time that the caller gives the request.
 *
 * @param header value of the timeout header, in seconds
 * @returns milliseconds, or Err where the value is no time or longer than the limit
 */
export const parseTimeout = (
  header: string | undefined,
  defaultMs: number,
  maxMs: number,
): Result<number, Refusal> => {
  if (header === undefined) return Ok(Math.min(defaultMs, maxMs));
  const timeoutMs = TIMEOUT_SYNTAX.test(header) ? Math.ceil(Number(header) * MS_PER_S) : 0;
  if (timeoutMs > 0 && timeoutMs <= maxMs) return Ok(timeoutMs);
  const detail = `at most ${maxMs / MS_PER_S} s`;
  return Err({ code: resultCodes.invalidTimeout, ran: 'no', detail });
};

const readTimeout = (arrival: Arrival, defaultMs: number): Result<number, Refusal> => {
  const { request, gateway } = arrival;
  const { maxTimeoutMs } = gateway.settings.limits;
  return parseTimeout(readHeader(request, TIMEOUT_HEADER), defaultMs, maxTimeoutMs);
};

const readKey = ({ request }: Arrival): Result<string | undefined, Refusal> => {
  const key = readHeader(request, IDEMPOTENCY_KEY_HEADER);
  if (key === undefined || KEY_SYNTAX.test(key)) return Ok(key);
  return Err({ code: resultCodes.invalidIdempotencyKey, ran: 'no' });
};

export const hashRequest = (method: string, path: string, body: Buffer): string =>
  createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');

export const createModelContract = (
  arrival: Arrival,
  model: ModelDeclaration,
  ask: ModelAsk,
): Result<ModelContract, Refusal> => {
  const timeoutMs = readTimeout(arrival, model.defaultTimeoutMs);
  if (timeoutMs.err) return timeoutMs;
  const key = readKey(arrival);
  if (key.err) return key;
  const maxOutputTokens = ask.maxOutputTokens ?? model.maxOutputTokens;
  if (maxOutputTokens > model.maxOutputTokens) {
    const detail = `max_tokens: at most ${model.maxOutputTokens} for this model`;
    return Err({ code: resultCodes.invalidField, ran: 'no', detail });
  }
  return Ok({
    kind: 'model',
    requestId: arrival.requestId,
    team: arrival.team.id,
    timeoutMs: timeoutMs.val,
    digest: hashRequest('POST', arrival.request.url ?? '/', arrival.body),
    model: model.id,
    promptTokens: ask.promptTokens,
    maxOutputTokens,
    prefixDigests: hashPrefixes(model.id, ask.promptParts),
  });
};

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

/** A call that no rule of the service declares is non-idempotent. */
export const readIdempotency = (
  service: ServiceDeclaration,
  method: string,
  path: string,
): Idempotency => {
  const rule = service.calls.find(
    (call) => call.methods.some((name) => name === method) && matchesPath(call.path, path),
  );
  return rule?.idempotency ?? 'nonIdempotent';
};

export const createServiceContract = (
  arrival: Arrival,
  service: ServiceDeclaration,
  { path, query }: ServicePath,
): Result<ServiceContract, Refusal> => {
  const timeoutMs = readTimeout(arrival, service.defaultTimeoutMs);
  if (timeoutMs.err) return timeoutMs;
  const key = readKey(arrival);
  if (key.err) return key;
  const method = arrival.request.method ?? 'GET';
  return Ok({
    kind: 'service',
    requestId: arrival.requestId,
    team: arrival.team.id,
    timeoutMs: timeoutMs.val,
    digest: hashRequest(method, path + query, arrival.body),
    service: service.id,
    idempotency: readIdempotency(service, method, path),
    idempotencyKey: key.val,
  });
};
