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
import { formatRawRefusal } from './json-responses.js';
import { BodyBudget } from './body-budget.js';
import { loadCertificate } from './caller-tls.js';
import { OpenRequests } from './open-requests.js';
import { refuseConnection } from './protocol-errors.js';
import { handleRequest, refuseExpectation, type IncomingRequest } from './request-handler.js';
import type { CallerServerContext } from './types.js';

/** Interval at which Node checks connections against their timeouts, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Idle time before the operating system sends TCP keep-alive probes, in milliseconds. */
const TCP_KEEP_ALIVE_DELAY_MS = 10_000;

/**
 * Idle time of a connection before it is closed, in milliseconds. It exceeds the usual idle timeout of
 * load balancers, so that they close first and never send a request on a closing connection.
 */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

const createServerOptions = ({ settings: { limits } }: CallerServerContext) => ({
  maxHeaderSize: limits.maxHeaderBytes,
  headersTimeout: limits.headersTimeoutMs,
  requestTimeout: limits.requestReadTimeoutMs,
  connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  keepAlive: true,
  keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  // checkRequestHead checks the Host header, so that the refusal carries a result code.
  requireHostHeader: false,
});

type HttpServer = Server | TlsServer;

const createHttpServer = (context: CallerServerContext, listener: RequestListener): HttpServer => {
  const options = createServerOptions(context);
  const { tls } = context.settings.callers;
  if (tls === undefined) return createServer(options, listener);
  const certificate = loadCertificate(tls);
  if (certificate.err) throw new Error(certificate.val);
  return createTlsServer({ ...options, ...certificate.val, minVersion: 'TLSv1.2' }, listener);
};

const createCallerServer = (
  context: CallerServerContext,
  openRequests: OpenRequests,
): HttpServer => {
  const budget = new BodyBudget(context.settings.limits.maxBufferedBodyBytes);
  const accept = (request: IncomingMessage, response: ServerResponse): IncomingRequest => {
    openRequests.add(response);
    const requestId = context.createRequestId();
    return { context, budget, request, response, requestId };
  };
  const server = createHttpServer(context, (request, response) => {
    handleRequest(accept(request, response)).catch(() => response.destroy());
  });
  // 0 means no limit on the number of headers; maxHeaderSize limits their total size.
  server.maxHeadersCount = 0;
  server.maxConnections = context.settings.limits.maxConnections;
  server.on('checkExpectation', (request, response) =>
    refuseExpectation(accept(request, response)),
  );
  server.on('clientError', (error, socket) =>
    refuseConnection(context, socket, error, openRequests.maySendError(socket)),
  );
  server.on('connect', (_request, socket) => {
    const refusal = { code: resultCodes.methodNotAllowed, ran: 'no' } as const;
    socket.end(formatRawRefusal(context.createRequestId(), refusal));
  });
  return server;
};

const reloadCertificate = (
  context: CallerServerContext,
  server: HttpServer,
): Result<void, string> => {
  const { tls } = context.settings.callers;
  if (tls === undefined || !('setSecureContext' in server)) return Ok(undefined);
  const certificate = loadCertificate(tls);
  if (certificate.err) return certificate;
  server.setSecureContext({ ...certificate.val, minVersion: 'TLSv1.2' });
  return Ok(undefined);
};

/** A running server for callers. */
export interface CallerServer {
  readonly port: number;
  /** Reloads certificate and key from their files; open connections keep the old certificate. */
  reloadCertificate(): Result<void, string>;
  /**
   * Closes the server once all responses have been sent. Requests that arrive until then are still
   * accepted; `openSession` of the context must refuse them.
   */
  close(onClosed: () => void): void;
}

/** Starts the HTTP server for model requests, plain services, health checks and metrics. */
export const startCallerServer = (context: CallerServerContext): Promise<CallerServer> =>
  new Promise((resolve, reject) => {
    const openRequests = new OpenRequests();
    const server = createCallerServer(context, openRequests);
    const { host, port } = context.settings.callers;
    server.on('error', reject);
    // Node's close() also drops connections whose response has ended but is not completely sent.
    const close = (onClosed: () => void): void =>
      openRequests.waitIdle(() => server.close(onClosed));
    server.listen(port, host, () => {
      const { port: boundPort } = server.address() as AddressInfo;
      resolve({
        port: boundPort,
        reloadCertificate: () => reloadCertificate(context, server),
        close,
      });
    });
  });
