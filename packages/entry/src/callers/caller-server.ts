import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { resultCodes } from '@savorywind/model';
import { formatRawRefusal } from './answers.js';
import { BodyBudget } from './body-budget.js';
import { OpenRequests, refuseConnection } from './protocol-faults.js';
import { handleRequest, refuseExpectation, type Incoming } from './request-handler.js';
import type { CallerGateway } from './types.js';

/** How often Node looks for connections over their time limits, in milliseconds. */
const TIMEOUT_CHECK_MS = 1_000;

/** Time after which the system asks whether a silent caller is still there, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 10_000;

/** Longer than the usual idle time of balancers, so that they close first. */
const IDLE_CONNECTION_MS = 75_000;

const createOptions = ({ settings: { limits } }: CallerGateway) => ({
  maxHeaderSize: limits.maxHeaderBytes,
  headersTimeout: limits.headersTimeoutMs,
  requestTimeout: limits.requestReadTimeoutMs,
  connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  keepAlive: true,
  keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  keepAliveTimeout: IDLE_CONNECTION_MS,
  // Checked by checkHead, so that the refusal has a result code.
  requireHostHeader: false,
});

const createCallerServer = (gateway: CallerGateway): Server => {
  const budget = new BodyBudget(gateway.settings.limits.maxBufferedBodyBytes);
  const open = new OpenRequests();
  const accept = (request: IncomingMessage, response: ServerResponse): Incoming => {
    open.add(response);
    const requestId = gateway.createRequestId();
    return { gateway, budget, request, response, requestId };
  };
  const server = createServer(createOptions(gateway), (request, response) => {
    handleRequest(accept(request, response)).catch(() => response.destroy());
  });
  // All headers are looked at; their size is bounded by maxHeaderSize.
  server.maxHeadersCount = 0;
  server.maxConnections = gateway.settings.limits.maxConnections;
  server.on('checkExpectation', (request, response) =>
    refuseExpectation(accept(request, response)),
  );
  server.on('clientError', (error, socket) =>
    refuseConnection(gateway, socket, error, open.mayAnswer(socket)),
  );
  server.on('connect', (_request, socket) => {
    const refusal = { code: resultCodes.methodNotAllowed, ran: 'no' } as const;
    socket.end(formatRawRefusal(gateway.createRequestId(), refusal));
  });
  return server;
};

/** Starts the server for callers: model requests, plain services, health and metrics. */
export const startCallerServer = (gateway: CallerGateway): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createCallerServer(gateway);
    const { host, port } = gateway.settings.callers;
    server.on('error', reject);
    server.listen(port, host, () => resolve(server));
  });
