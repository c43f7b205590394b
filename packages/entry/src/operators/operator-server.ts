import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Err, Ok, resultCodes, type Result } from '@savorywind/model';
import { BodyBudget } from '../callers/body-budget.js';
import { readBody } from '../callers/read-body.js';
import { findOperator } from './find-operator.js';
import { operatorRoutes, type OperatorRefusal, type OperatorReply } from './operator-routes.js';
import type { OperatorDependencies } from './types.js';

/** Largest body of a call, in bytes; a change carries the whole configuration of a deployment. */
const MAX_BODY_BYTES = 8_388_608;

/** Memory for the bodies of all calls together, in bytes. */
const MAX_BUFFERED_BODY_BYTES = 16_777_216;

/** Time within which a call must have been received completely, in milliseconds. */
const REQUEST_READ_TIMEOUT_MS = 30_000;

const MAX_CONNECTIONS = 64;

const formatRefusal = ({ code, ...details }: OperatorRefusal): object => {
  const { name, title, message, hint } = code;
  return { error: { code: code.code, type: name, title, message, hint, ...details } };
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

const handleCall = async (
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
 * Starts the operator API, which has its own address and credentials.
 *
 * @example
 * const server = await startOperatorServer({ address: { host: '127.0.0.1', port: 9300 }, ...rest });
 */
export const startOperatorServer = (dependencies: OperatorDependencies): Promise<Server> =>
  new Promise((resolve, reject) => {
    const budget = new BodyBudget(MAX_BUFFERED_BODY_BYTES);
    const server = createServer((request, response) => {
      handleCall(dependencies, request, response, budget)
        .then((reply) => sendReply(response, reply))
        .catch(() => response.destroy());
    });
    server.requestTimeout = REQUEST_READ_TIMEOUT_MS;
    server.maxConnections = MAX_CONNECTIONS;
    server.on('error', reject);
    server.listen(dependencies.address.port, dependencies.address.host, () => resolve(server));
  });
