import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  Err,
  Ok,
  resultCodes,
  type Configuration,
  type Refusal,
  type Result,
  type TeamDeclaration,
} from '@savorywind/model';
import type { EntrySettings } from '../settings/schema.js';
import { sendRefusal } from './answers.js';
import { parseChatBody } from './chat-body.js';
import { createStreamedChat, createWholeChat } from './chat-exchange.js';
import { createModelContract, createServiceContract } from './contracts.js';
import { findTeam, readBearer } from './credentials.js';
import { copyEndToEndHeaders } from './hop-by-hop.js';
import { readBody } from './read-body.js';
import { createServiceExchange } from './service-exchange.js';
import type { CallerSession } from './types.js';

/** What the callers' side needs of the program around it. */
export interface CallerGateway {
  readonly settings: EntrySettings;
  readConfiguration(): Configuration | undefined;
  isReady(): boolean;
  createRequestId(): string;
  open(session: CallerSession): void;
  abandon(requestId: string): void;
}

interface Arrival {
  readonly gateway: CallerGateway;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly configuration: Configuration;
  readonly team: TeamDeclaration;
  readonly body: Buffer;
}

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^#]*|\?[^#]*|)$/;

const openChat = (arrival: Arrival): Result<CallerSession, Refusal> => {
  const { gateway, request, response, requestId, configuration, team, body } = arrival;
  const chat = parseChatBody(body);
  if (chat.err) return chat;
  const model = configuration.models.find(({ id }) => id === chat.val.model);
  if (model === undefined) return Err({ code: resultCodes.unknownModel, ran: 'no' });
  const { maxTimeoutMs } = gateway.settings.limits;
  const contract = createModelContract(
    request,
    requestId,
    team,
    model,
    chat.val,
    body,
    maxTimeoutMs,
  );
  const createExchange = chat.val.stream ? createStreamedChat : createWholeChat;
  return Ok({
    request: { contract, method: 'POST', path: '', headers: {}, body },
    exchange: createExchange(response, contract, Date.now()),
  });
};

const openServiceCall = (
  arrival: Arrival,
  serviceId: string,
  rest: string,
): Result<CallerSession, Refusal> => {
  const { gateway, request, response, requestId, configuration, team, body } = arrival;
  const service = configuration.services.find(({ id }) => id === serviceId);
  if (service === undefined) return Err({ code: resultCodes.unknownService, ran: 'no' });
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  const { maxTimeoutMs } = gateway.settings.limits;
  const contract = createServiceContract(
    request,
    requestId,
    team,
    service,
    path,
    body,
    maxTimeoutMs,
  );
  const headers = copyEndToEndHeaders(request.headers);
  delete headers.authorization;
  return Ok({
    request: { contract, method: request.method ?? 'GET', path, headers, body },
    exchange: createServiceExchange(response, requestId),
  });
};

const openSession = (arrival: Arrival): Result<CallerSession, Refusal> => {
  const { method, url = '/' } = arrival.request;
  if (method === 'POST' && url === '/v1/chat/completions') return openChat(arrival);
  const [, serviceId, rest] = SERVICE_PATH.exec(url) ?? [];
  if (serviceId !== undefined) return openServiceCall(arrival, serviceId, rest ?? '');
  return Err({ code: resultCodes.unknownRoute, ran: 'no' });
};

const authenticate = (
  configuration: Configuration,
  request: IncomingMessage,
): Result<TeamDeclaration, Refusal> => {
  const credential = readBearer(request.headers.authorization);
  if (credential === undefined) return Err({ code: resultCodes.missingCredential, ran: 'no' });
  const team = findTeam(configuration, credential);
  if (team === undefined) return Err({ code: resultCodes.wrongCredential, ran: 'no' });
  return Ok(team);
};

const acceptRequest = async (
  gateway: CallerGateway,
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
): Promise<Result<CallerSession, Refusal>> => {
  const configuration = gateway.readConfiguration();
  if (configuration === undefined) {
    return Err({ code: resultCodes.notReady, ran: 'no', retryAfterMs: 1_000 });
  }
  const team = authenticate(configuration, request);
  if (team.err) return team;
  const body = await readBody(request, gateway.settings.limits.maxBodyBytes);
  if (body.err) return body;
  return openSession({
    gateway,
    request,
    response,
    requestId,
    configuration,
    team: team.val,
    body: body.val,
  });
};

const handleRequest = async (
  gateway: CallerGateway,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  if (request.method === 'GET' && request.url === '/healthz/ready') {
    response.writeHead(gateway.isReady() ? 200 : 503).end();
    return;
  }
  if (request.method === 'GET' && request.url === '/healthz/live') {
    response.writeHead(200).end();
    return;
  }
  const requestId = gateway.createRequestId();
  const session = await acceptRequest(gateway, request, response, requestId);
  if (session.err) {
    sendRefusal(response, requestId, session.val);
    return;
  }
  response.on('close', () => {
    if (!response.writableFinished) gateway.abandon(requestId);
  });
  gateway.open(session.val);
};

/** Starts the server for callers: model requests, plain services and health. */
export const startCallerServer = (gateway: CallerGateway): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createServer((request, response) => {
      handleRequest(gateway, request, response).catch(() => response.destroy());
    });
    const { host, port } = gateway.settings.callers;
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
