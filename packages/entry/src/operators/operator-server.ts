import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Err, Ok, resultCodes, type Result } from '@savorywind/model';
import { BodyBudget } from '../callers/body-budget.js';
import { readBody } from '../callers/read-body.js';
import { findOperator } from './find-operator.js';
import { operatorRoutes, type OperatorRefusal, type OperatorReply } from './operator-routes.js';
import type { OperatorDependencies } from './types.js';

/** Largest body of a call, in bytes: the whole declarations of a deployment. */
const MAX_BODY_BYTES = 8_388_608;

/** Bodies of all calls together, in bytes. */
const MAX_BODIES_BYTES = 16_777_216;

/** Longest time that a call may take to arrive, in milliseconds. */
const ARRIVAL_LIMIT_MS = 30_000;

const MAX_CONNECTIONS = 64;

const formatRefusal = ({ code, ...rest }: OperatorRefusal): object => {
  const { name, title, message, hint } = code;
  return { error: { code: code.code, type: name, title, message, hint, ...rest } };
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

const sendReply = (response: ServerResponse, reply: OperatorReply): void => {
  if (reply.ok) sendJson(response, reply.val.status, reply.val.body);
  else sendJson(response, reply.val.code.httpStatus, formatRefusal(reply.val));
};

const refuse = (code: OperatorRefusal['code']): OperatorReply => Err({ code, committed: 'no' });

const parseBody = (body: Buffer): Result<unknown, 'notJson'> => {
  if (body.length === 0) return Ok(undefined);
  try {
    return Ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch {
    return Err('notJson');
  }
};

const answerCall = async (
  dependencies: OperatorDependencies,
  request: IncomingMessage,
  response: ServerResponse,
  budget: BodyBudget,
): Promise<OperatorReply> => {
  const operator = findOperator(dependencies.credentials, request.headers.authorization);
  if (operator === undefined) return refuse(resultCodes.operatorUnauthorized);
  const url = new URL(request.url ?? '/', 'http://operators');
  const handler = operatorRoutes[`${request.method} ${url.pathname}`];
  if (handler === undefined) return refuse(resultCodes.invalidOperatorCall);
  const body = await readBody(request, response, MAX_BODY_BYTES, budget);
  if (body.err) return refuse(resultCodes.invalidOperatorCall);
  const parsed = parseBody(body.val);
  if (parsed.err) return refuse(resultCodes.invalidOperatorCall);
  return handler(dependencies, { operator, query: url.searchParams, body: parsed.val });
};

/**
 * Serves operators on an address and with credentials of their own.
 *
 * @example
 * const server = await startOperatorServer({ address: { host: '127.0.0.1', port: 9300 }, ...rest });
 */
export const startOperatorServer = (dependencies: OperatorDependencies): Promise<Server> =>
  new Promise((resolve, reject) => {
    const budget = new BodyBudget(MAX_BODIES_BYTES);
    const server = createServer((request, response) => {
      answerCall(dependencies, request, response, budget)
        .then((reply) => sendReply(response, reply))
        .catch(() => response.destroy());
    });
    server.requestTimeout = ARRIVAL_LIMIT_MS;
    server.maxConnections = MAX_CONNECTIONS;
    server.on('error', reject);
    server.listen(dependencies.address.port, dependencies.address.host, () => resolve(server));
  });
