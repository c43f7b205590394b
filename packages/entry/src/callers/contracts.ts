import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type {
  Idempotency,
  ModelContract,
  ModelDeclaration,
  ServiceContract,
  ServiceDeclaration,
  TeamDeclaration,
} from '@savorywind/model';
import { estimatePromptTokens, type ChatBody } from './chat-body.js';

const MS_PER_S = 1_000;

/** Header in which a caller states how long it waits for the whole answer, in seconds. */
const TIMEOUT_HEADER = 'x-request-timeout';

const readTimeoutMs = (request: IncomingMessage, defaultMs: number, maxMs: number): number => {
  const seconds = Number(request.headers[TIMEOUT_HEADER]);
  const stated = Number.isFinite(seconds) && seconds > 0 ? seconds * MS_PER_S : defaultMs;
  return Math.min(stated, maxMs);
};

export const hashRequest = (method: string, path: string, body: Buffer): string =>
  createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');

export const createModelContract = (
  request: IncomingMessage,
  requestId: string,
  team: TeamDeclaration,
  model: ModelDeclaration,
  chat: ChatBody,
  body: Buffer,
  maxTimeoutMs: number,
): ModelContract => ({
  kind: 'model',
  requestId,
  team: team.id,
  timeoutMs: readTimeoutMs(request, model.defaultTimeoutMs, maxTimeoutMs),
  digest: hashRequest('POST', request.url ?? '/', body),
  model: model.id,
  promptTokens: estimatePromptTokens(chat),
  maxOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ?? model.maxOutputTokens,
  prefixDigests: [],
});

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
  request: IncomingMessage,
  requestId: string,
  team: TeamDeclaration,
  service: ServiceDeclaration,
  path: string,
  body: Buffer,
  maxTimeoutMs: number,
): ServiceContract => {
  const method = request.method ?? 'GET';
  const key = request.headers['idempotency-key'];
  return {
    kind: 'service',
    requestId,
    team: team.id,
    timeoutMs: readTimeoutMs(request, service.defaultTimeoutMs, maxTimeoutMs),
    digest: hashRequest(method, path, body),
    service: service.id,
    idempotency: readIdempotency(service, method, path.split('?')[0] ?? path),
    idempotencyKey: typeof key === 'string' ? key : undefined,
  };
};
