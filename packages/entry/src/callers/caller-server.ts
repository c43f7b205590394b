import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { resultCodes } from '@savorywind/model';
import { formatRawRefusal } from './answers.js';
import { BodyBudget } from './body-budget.js';
import { OpenRequests } from './open-requests.js';
import { refuseConnection } from './protocol-faults.js';
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

const createCallerServer = (gateway: CallerGateway, open: OpenRequests): Server => {
  const budget = new BodyBudget(gateway.settings.limits.maxBufferedBodyBytes);
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

/** The server for callers, while it runs. */
export interface CallerServer {
  readonly port: number;
  /** Closes once every answer has gone out; requests that still come until then are refused. */
  close(onClosed: () => void): void;
}

/** Starts the server for callers: model requests, plain services, health and metrics. */
export const startCallerServer = (gateway: CallerGateway): Promise<CallerServer> =>
  new Promise((resolve, reject) => {
    const open = new OpenRequests();
    const server = createCallerServer(gateway, open);
    const { host, port } = gateway.settings.callers;
    server.on('error', reject);
    // Node's close() also closes connections whose answer has been ended but not been sent in full.
    const close = (onClosed: () => void): void => open.waitIdle(() => server.close(onClosed));
    server.listen(port, host, () =>
      resolve({ port: (server.address() as AddressInfo).port, close }),
    );
  });
