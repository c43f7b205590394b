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
import { sendRefusal } from './answers.js';
import type { BodyBudget } from './body-budget.js';
import { REQUEST_ID_HEADER, SOON_RETRY_MS } from './consts.js';
import { findTeam, readBearer } from './credentials.js';
import { readBody } from './read-body.js';
import { checkHead } from './request-head.js';
import { findRoute, type Route, type RouteOutcome } from './routes.js';
import type { CallerGateway } from './types.js';

/** One request as it comes from the HTTP server. */
export interface Incoming {
  readonly gateway: CallerGateway;
  readonly budget: BodyBudget;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
}

type OpenAnswer = (incoming: Incoming) => void;

const OK = 200;
const UNAVAILABLE = 503;

const sendText = ({ response, requestId }: Incoming, status: number, text: string): void => {
  response.writeHead(status, {
    'content-type': 'text/plain; version=0.0.4; charset=utf-8',
    [REQUEST_ID_HEADER]: requestId,
  });
  response.end(text);
};

/** Served without a credential: health for the balancer, and metrics. */
const openAnswers: Readonly<Record<string, OpenAnswer>> = {
  '/healthz/live': (incoming) => sendText(incoming, OK, 'live\n'),
  '/healthz/ready': (incoming) => {
    const readiness = incoming.gateway.readReadiness();
    sendText(incoming, readiness === 'ready' ? OK : UNAVAILABLE, `${readiness}\n`);
  },
  '/metrics': (incoming) => sendText(incoming, OK, incoming.gateway.renderMetrics()),
};

const authenticate = (
  configuration: Configuration,
  request: IncomingMessage,
): Result<TeamDeclaration, Refusal> => {
  const { authorization } = request.headers;
  if (authorization === undefined) return Err({ code: resultCodes.missingCredential, ran: 'no' });
  const credential = readBearer(authorization);
  const team = credential === undefined ? undefined : findTeam(configuration, credential);
  if (team === undefined) return Err({ code: resultCodes.wrongCredential, ran: 'no' });
  return Ok(team);
};

const checkMethod = (route: Route, incoming: Incoming): Refusal | undefined => {
  if (route.methods.includes(incoming.request.method ?? '')) return undefined;
  incoming.response.setHeader('allow', route.methods.join(', '));
  return { code: resultCodes.methodNotAllowed, ran: 'no' };
};

const acceptRequest = async (incoming: Incoming): Promise<RouteOutcome> => {
  const { gateway, budget, request, response, requestId } = incoming;
  const fault = checkHead(request);
  if (fault !== undefined) return Err(fault);
  const route = findRoute(request.url ?? '/');
  if (route.err) return route;
  const configuration = gateway.readConfiguration();
  if (configuration === undefined) {
    return Err({ code: resultCodes.notReady, ran: 'no', retryAfterMs: SOON_RETRY_MS });
  }
  const team = authenticate(configuration, request);
  if (team.err) return team;
  const wrongMethod = checkMethod(route.val, incoming);
  if (wrongMethod !== undefined) return Err(wrongMethod);
  const { maxBodyBytes } = gateway.settings.limits;
  const body = await readBody(request, response, maxBodyBytes, budget);
  if (body.err) return body;
  return route.val.open({
    gateway,
    request,
    response,
    requestId,
    configuration,
    team: team.val,
    body: body.val,
  });
};

const refuse = ({ gateway, response, requestId }: Incoming, refusal: Refusal): void => {
  gateway.recordRefusal(requestId, refusal);
  sendRefusal(response, requestId, refusal);
};

/** Takes one request from its head to an open session, or answers it. */
export const handleRequest = async (incoming: Incoming): Promise<void> => {
  const { gateway, request, response, requestId } = incoming;
  const openAnswer = openAnswers[request.url ?? ''];
  if (openAnswer !== undefined && request.method === 'GET') {
    openAnswer(incoming);
    return;
  }
  if (gateway.readReadiness() !== 'ready') response.shouldKeepAlive = false;
  const outcome = await acceptRequest(incoming);
  if (outcome.err) {
    refuse(incoming, outcome.val);
    return;
  }
  if (outcome.val === undefined) return;
  if (response.destroyed) return;
  response.on('close', () => {
    if (!response.writableFinished) gateway.abandon(requestId);
  });
  gateway.open(outcome.val);
};

export const refuseExpectation = (incoming: Incoming): void =>
  refuse(incoming, { code: resultCodes.unmetExpectation, ran: 'no' });
