import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { Ok, resultCodes, type Result } from '@savorywind/model';
import { formatRawRefusal } from './answers.js';
import { BodyBudget } from './body-budget.js';
import { loadCertificate } from './caller-tls.js';
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

type AnyServer = Server | TlsServer;

const createAnyServer = (gateway: CallerGateway, listener: RequestListener): AnyServer => {
  const options = createOptions(gateway);
  const { tls } = gateway.settings.callers;
  if (tls === undefined) return createServer(options, listener);
  const certificate = loadCertificate(tls);
  if (certificate.err) throw new Error(certificate.val);
  return createTlsServer({ ...options, ...certificate.val, minVersion: 'TLSv1.2' }, listener);
};

const createCallerServer = (gateway: CallerGateway, open: OpenRequests): AnyServer => {
  const budget = new BodyBudget(gateway.settings.limits.maxBufferedBodyBytes);
  const accept = (request: IncomingMessage, response: ServerResponse): Incoming => {
    open.add(response);
    const requestId = gateway.createRequestId();
    return { gateway, budget, request, response, requestId };
  };
  const server = createAnyServer(gateway, (request, response) => {
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

const reloadCertificate = (gateway: CallerGateway, server: AnyServer): Result<void, string> => {
  const { tls } = gateway.settings.callers;
  if (tls === undefined || !('setSecureContext' in server)) return Ok(undefined);
  const certificate = loadCertificate(tls);
  if (certificate.err) return certificate;
  server.setSecureContext({ ...certificate.val, minVersion: 'TLSv1.2' });
  return Ok(undefined);
};

/** The server for callers, while it runs. */
export interface CallerServer {
  readonly port: number;
  /** Reads certificate and key again; connections that are open keep theirs. */
  reload(): Result<void, string>;
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
    server.listen(port, host, () => {
      const { port: boundPort } = server.address() as AddressInfo;
      resolve({ port: boundPort, reload: () => reloadCertificate(gateway, server), close });
    });
  });
