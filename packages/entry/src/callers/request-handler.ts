import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  Err,
  Ok,
  resultCodes,
  type Configuration,
  type Refusal,
  type Result,
  type TeamDeclaration,
} from '@savorywind/model';
import { sendRefusal } from './json-responses.js';
import type { BodyBudget } from './body-budget.js';
import { REQUEST_ID_HEADER, SHORT_RETRY_AFTER_MS } from './consts.js';
import { findTeamByCredential, readBearerToken } from './credentials.js';
import { readBody } from './read-body.js';
import { checkRequestHead } from './request-head.js';
import { findRoute, type Route, type RouteResult } from './routes.js';
import type { CallerServerContext } from './types.js';

/** A request of the HTTP server with the state that its handling needs. */
export interface IncomingRequest {
  readonly context: CallerServerContext;
  readonly budget: BodyBudget;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
}

type PublicHandler = (incoming: IncomingRequest) => void;

const OK = 200;
const UNAVAILABLE = 503;

const sendText = ({ response, requestId }: IncomingRequest, status: number, text: string): void => {
  response.writeHead(status, {
    'content-type': 'text/plain; version=0.0.4; charset=utf-8',
    [REQUEST_ID_HEADER]: requestId,
  });
  response.end(text);
};

/** Paths that are served without authentication: health checks of the load balancer, and metrics. */
const PUBLIC_HANDLERS: Readonly<Record<string, PublicHandler>> = {
  '/healthz/live': (incoming) => sendText(incoming, OK, 'live\n'),
  '/healthz/ready': (incoming) => {
    const readiness = incoming.context.readReadiness();
    sendText(incoming, readiness === 'ready' ? OK : UNAVAILABLE, `${readiness}\n`);
  },
  '/metrics': (incoming) => sendText(incoming, OK, incoming.context.renderMetrics()),
};

const authenticate = (
  configuration: Configuration,
  request: IncomingMessage,
): Result<TeamDeclaration, Refusal> => {
  const { authorization } = request.headers;
  if (authorization === undefined) return Err({ code: resultCodes.missingCredential, ran: 'no' });
  const credential = readBearerToken(authorization);
  const team =
    credential === undefined ? undefined : findTeamByCredential(configuration, credential);
  if (team === undefined) return Err({ code: resultCodes.wrongCredential, ran: 'no' });
  return Ok(team);
};

const checkMethod = (route: Route, incoming: IncomingRequest): Refusal | undefined => {
  if (route.methods.includes(incoming.request.method ?? '')) return undefined;
  incoming.response.setHeader('allow', route.methods.join(', '));
  return { code: resultCodes.methodNotAllowed, ran: 'no' };
};

const acceptRequest = async (incoming: IncomingRequest): Promise<RouteResult> => {
  const { context, budget, request, response, requestId } = incoming;
  const refusal = checkRequestHead(request);
  if (refusal !== undefined) return Err(refusal);
  const route = findRoute(request.url ?? '/');
  if (route.err) return route;
  const configuration = context.readConfiguration();
  if (configuration === undefined) {
    return Err({ code: resultCodes.notReady, ran: 'no', retryAfterMs: SHORT_RETRY_AFTER_MS });
  }
  const team = authenticate(configuration, request);
  if (team.err) return team;
  const wrongMethod = checkMethod(route.val, incoming);
  if (wrongMethod !== undefined) return Err(wrongMethod);
  const { maxBodyBytes } = context.settings.limits;
  const body = await readBody(request, response, maxBodyBytes, budget);
  if (body.err) return body;
  return route.val.handle({
    context,
    request,
    response,
    requestId,
    configuration,
    team: team.val,
    body: body.val,
  });
};

const refuse = ({ context, response, requestId }: IncomingRequest, refusal: Refusal): void => {
  context.recordRefusal(requestId, refusal);
  sendRefusal(response, requestId, refusal);
};

/** Validates and authenticates a request, and opens its session or sends a response. */
export const handleRequest = async (incoming: IncomingRequest): Promise<void> => {
  const { context, request, response, requestId } = incoming;
  const publicHandler = PUBLIC_HANDLERS[request.url ?? ''];
  if (publicHandler !== undefined && request.method === 'GET') {
    publicHandler(incoming);
    return;
  }
  if (context.readReadiness() !== 'ready') response.shouldKeepAlive = false;
  const routed = await acceptRequest(incoming);
  if (routed.err) {
    refuse(incoming, routed.val);
    return;
  }
  if (routed.val === undefined) return;
  if (response.destroyed) return;
  response.on('close', () => {
    if (!response.writableFinished) context.abandonRequest(requestId);
  });
  context.openSession(routed.val);
};

/** Refuses a request whose Expect header asks for anything but `100-continue`. */
export const refuseExpectation = (incoming: IncomingRequest): void =>
  refuse(incoming, { code: resultCodes.unmetExpectation, ran: 'no' });
