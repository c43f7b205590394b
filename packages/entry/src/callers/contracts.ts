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
import type { CompletionParams } from './models/types.js';
import { hashPrefixes } from './prefix-digests.js';
import type { ServicePath } from './services/service-path.js';
import type { AcceptedRequest } from './types.js';

const TIMEOUT_PATTERN = /^\d{1,9}(\.\d{1,6})?$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Reads a header that `checkRequestHead` allows at most once. */
const readHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
};

/**
 * Parses the timeout that the caller set for the request.
 *
 * @param header value of the timeout header, in seconds; undefined selects the default
 * @returns milliseconds, or Err if the value is not a positive number of seconds within the limit
 */
export const parseTimeout = (
  header: string | undefined,
  defaultMs: number,
  maxMs: number,
): Result<number, Refusal> => {
  if (header === undefined) return Ok(Math.min(defaultMs, maxMs));
  const timeoutMs = TIMEOUT_PATTERN.test(header) ? Math.ceil(Number(header) * MS_PER_S) : 0;
  if (timeoutMs > 0 && timeoutMs <= maxMs) return Ok(timeoutMs);
  const detail = `at most ${maxMs / MS_PER_S} s`;
  return Err({ code: resultCodes.invalidTimeout, ran: 'no', detail });
};

const readTimeout = (accepted: AcceptedRequest, defaultMs: number): Result<number, Refusal> => {
  const { request, context } = accepted;
  const { maxTimeoutMs } = context.settings.limits;
  return parseTimeout(readHeader(request, TIMEOUT_HEADER), defaultMs, maxTimeoutMs);
};

const readIdempotencyKey = ({ request }: AcceptedRequest): Result<string | undefined, Refusal> => {
  const key = readHeader(request, IDEMPOTENCY_KEY_HEADER);
  if (key === undefined || IDEMPOTENCY_KEY_PATTERN.test(key)) return Ok(key);
  return Err({ code: resultCodes.invalidIdempotencyKey, ran: 'no' });
};

/** Fingerprint of a request, to detect that an idempotency key is reused for another request. */
export const hashRequest = (method: string, path: string, body: Buffer): string =>
  createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');

/** Creates the contract of a completion request; Err if a header or the output limit is invalid. */
export const createModelContract = (
  accepted: AcceptedRequest,
  model: ModelDeclaration,
  params: CompletionParams,
): Result<ModelContract, Refusal> => {
  const timeoutMs = readTimeout(accepted, model.defaultTimeoutMs);
  if (timeoutMs.err) return timeoutMs;
  const key = readIdempotencyKey(accepted);
  if (key.err) return key;
  const maxOutputTokens = params.maxOutputTokens ?? model.maxOutputTokens;
  if (maxOutputTokens > model.maxOutputTokens) {
    const detail = `max_tokens: at most ${model.maxOutputTokens} for this model`;
    return Err({ code: resultCodes.invalidField, ran: 'no', detail });
  }
  return Ok({
    kind: 'model',
    requestId: accepted.requestId,
    team: accepted.team.id,
    timeoutMs: timeoutMs.val,
    digest: hashRequest('POST', accepted.request.url ?? '/', accepted.body),
    model: model.id,
    promptTokens: params.promptTokens,
    maxOutputTokens,
    prefixDigests: hashPrefixes(model.id, params.promptParts),
  });
};

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

/** Reads whether a call is idempotent; calls without a matching rule count as non-idempotent. */
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

/** Creates the contract of a call to a plain service; Err if a header is invalid. */
export const createServiceContract = (
  accepted: AcceptedRequest,
  service: ServiceDeclaration,
  { path, query }: ServicePath,
): Result<ServiceContract, Refusal> => {
  const timeoutMs = readTimeout(accepted, service.defaultTimeoutMs);
  if (timeoutMs.err) return timeoutMs;
  const key = readIdempotencyKey(accepted);
  if (key.err) return key;
  const method = accepted.request.method ?? 'GET';
  return Ok({
    kind: 'service',
    requestId: accepted.requestId,
    team: accepted.team.id,
    timeoutMs: timeoutMs.val,
    digest: hashRequest(method, path + query, accepted.body),
    service: service.id,
    idempotency: readIdempotency(service, method, path),
    idempotencyKey: key.val,
  });
};
