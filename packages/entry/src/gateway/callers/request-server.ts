import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { CloseReason } from '@savorywind/decisions';
import type { CallerLimits, NetworkAddress } from '@savorywind/model';
import { BodyBudget } from '../../callers/body-budget.js';
import type { GatewayWire, RequestMetadata } from '../types.js';
import { openAddress } from '../open-address.js';
import { BodyReader, type BodyFailure } from './body-reader.js';
import { CallerExchange, type ReceivedRequest } from './caller-exchange.js';
import { findCloseReason, recordClose } from './closed-connections.js';
import { RequestFingerprint } from './request-fingerprint.js';

/**
 * Largest request head that the parser accepts, in bytes. The configured limit is checked in
 * addition.
 */
const MAX_PARSED_HEAD_BYTES = 65_536;

/** Interval at which connections are checked against the header timeout, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/**
 * Added to the idle timeout, in milliseconds, so that callers stop reusing a connection before the
 * server closes it.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Limits that apply until the first configuration is read. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/**
 * Longest time for reading a body, in milliseconds. A caller that names its own deadline may shorten
 * it.
 */
const MAX_BODY_READ_MS = 30_000;

/** Memory for the bodies of all requests together: a quarter of the smallest VM's 250 MB. */
const MAX_BUFFERED_BODY_BYTES = 64_000_000;

/** Creates the memory budget for the bodies of all requests of an entry VM. */
export const createBodyBudget = (): BodyBudget => new BodyBudget(MAX_BUFFERED_BODY_BYTES);

/** Callers take 408 and 503 as a guarantee that the request has not run. */
const BODY_FAILURE_STATUS: Readonly<Record<BodyFailure, number>> = {
  tooLarge: 413,
  tooSlow: 408,
  noRoom: 503,
};

const HTTP_FORBIDDEN = 403;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;

/** `Retry-After` if the body budget is used up, in seconds: other bodies are released within seconds. */
const RETRY_AFTER_S = '1';

/** `Retry-After` of requests that are refused because the process stops, in seconds. */
const STOPPING_RETRY_AFTER_S = '0.5';

/**
 * Longest time for which a connection stays open for a caller that still sends its body after it was
 * refused, in milliseconds. Closing it earlier resets it, which may discard the response.
 */
const LINGER_MS = 1_000;

const BAD_REQUEST_RESPONSE =
  'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Creates the exchange of a request whose body was read. */
export type CreateExchange = (
  requestId: string,
  received: ReceivedRequest,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => CallerExchange;

export interface RequestServerOptions {
  readonly address: NetworkAddress;
  readonly wire: GatewayWire;
  /** Memory for the bodies of all requests, which several servers may share. */
  readonly bodyBudget?: BodyBudget;
  /** Begins the ids of its requests, so that those of several servers differ. */
  readonly idPrefix?: string;
  /** Size by which heads may exceed the limit of callers, in bytes. */
  readonly extraHeadBytes?: number;
  /** Whether a request is read; others are refused with 403. All are read if this is missing. */
  readonly isAllowed?: (incoming: IncomingMessage) => boolean;
  readonly createExchange?: CreateExchange;
  /** Called when a peer opens a connection for another protocol. */
  readonly onUpgrade?: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void;
  /** Called with the complete request, its path without the query, and its Host header. */
  readonly onRequestReceived: (exchange: CallerExchange, path: string, host: string) => void;
  /**
   * Called when a caller's connection closes before its response was sent completely. The reason is
   * undefined if the caller has left.
   */
  readonly onDisconnected: (requestId: string, closedFor: CloseReason | undefined) => void;
  /** Called when a request is refused because the process stops before its body has arrived. */
  readonly onUnreadRefused: (callerAttempt: string | undefined) => void;
  /** Called if a connection can't be accepted, for example for want of descriptors. */
  readonly onAcceptFailed: (error: Error) => void;
}

/** A request whose body is still arriving. */
interface UnreadRequest {
  readonly incoming: IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly reader: BodyReader;
}

/** Counts the bytes of a request's headers, with two bytes of separators for each name and value. */
const countHeadBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** HTTP server for callers. Reads the complete body of a request before it reports the request. */
export class RequestServer {
  private readonly server: Server;

  private limits = INITIAL_LIMITS;

  private isStopping = false;

  private nextRequestNumber = 1;

  private readonly bodyBudget: BodyBudget;

  /** Responses that are not yet handed to the operating system completely. */
  private readonly openResponses = new Set<ServerResponse>();

  private readonly unreadRequests = new Map<ServerResponse, UnreadRequest>();

  /** Complete responses whose callers still send their bodies. */
  private readonly lingeringResponses = new Set<ServerResponse>();

  /** Whether new connections are no longer accepted. */
  private isClosing = false;

  private isStopped = false;

  private onResponsesWritten: (() => void) | undefined;

  constructor(private readonly options: RequestServerOptions) {
    this.bodyBudget = options.bodyBudget ?? createBodyBudget();
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEAD_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
        headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
        noDelay: true,
      },
      (incoming, outgoing) => this.handleRequest(incoming, outgoing),
    );
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket) => {
      socket.on('close', () => this.closeQueuedResponses(socket));
    });
    if (options.onUpgrade !== undefined) this.server.on('upgrade', options.onUpgrade);
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // An error of a system call shows that the caller has left.
      if (error.syscall === undefined) recordClose(socket, 'malformedInput');
      this.handleParseError(socket as Socket);
    });
  }

  /** Number of requests whose response is not yet handed to the operating system completely. */
  get openResponseCount(): number {
    return this.openResponses.size - this.lingeringResponses.size;
  }

  start(): Promise<void> {
    const { address, onAcceptFailed } = this.options;
    return openAddress(this.server, address, onAcceptFailed);
  }

  /** Applies new limits to all connections. */
  changeLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Sends `Connection: close` with the response to each request that arrives from now on. */
  stopKeepAlive(): void {
    this.isStopping = true;
  }

  /**
   * Stops accepting connections, closes idle ones and refuses requests whose body is still arriving.
   * Connections in use close after their response. May be called more than once.
   */
  close(): void {
    this.isClosing = true;
    // The same method of the HTTP server also closes connections, among them some in use; see
    // `closeIdleConnections`.
    if (this.server.listening) NetServer.prototype.close.call(this.server);
    this.closeIdleConnections();
    [...this.unreadRequests].forEach(([outgoing, unread]) => this.refuseUnread(outgoing, unread));
  }

  /** Same as `close`, and refuses all requests that arrive later without reading their bodies. */
  stop(): void {
    this.isStopped = true;
    this.close();
  }

  /** Calls back once all responses are handed to the operating system, or their callers have left. */
  waitForResponses(onWritten: () => void): void {
    if (this.openResponses.size === 0) onWritten();
    else this.onResponsesWritten = onWritten;
  }

  /** Closes all connections, including those in use. */
  closeAllConnections(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Closes idle connections, unless a response is being sent: Node counts a connection as idle once its
   * response has ended, although it may not be sent completely.
   */
  private closeIdleConnections(): void {
    const isSending = [...this.openResponses].some(({ writableEnded }) => writableEnded);
    if (!isSending) this.server.closeIdleConnections();
  }

  private handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    if (this.isStopping) outgoing.shouldKeepAlive = false;
    this.openResponses.add(outgoing);
    outgoing.on('close', () => this.removeResponse(outgoing));
    const { isAllowed, extraHeadBytes = 0 } = this.options;
    if (isAllowed?.(incoming) === false) {
      this.refuse(incoming, outgoing, HTTP_FORBIDDEN);
      return;
    }
    if (countHeadBytes(incoming.rawHeaders) > this.limits.maxHeaderBytes + extraHeadBytes) {
      this.refuse(incoming, outgoing, HTTP_HEADERS_TOO_LARGE);
      return;
    }
    this.readBody(incoming, outgoing);
  }

  private readBody(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const metadata = this.options.wire.readRequest(incoming.headers);
    const fingerprint = new RequestFingerprint({
      method: incoming.method ?? '',
      host: incoming.headers.host ?? '',
      url: incoming.url ?? '',
      credential: metadata.credential,
    });
    const reader = new BodyReader({
      incoming,
      budget: this.bodyBudget,
      maxBytes: this.limits.maxBodyBytes,
      timeoutMs: Math.min(metadata.waitsMs ?? MAX_BODY_READ_MS, MAX_BODY_READ_MS),
      onChunkRead: (chunk) => fingerprint.add(chunk),
      onFailed: (failure) => {
        this.unreadRequests.delete(outgoing);
        this.refuse(incoming, outgoing, BODY_FAILURE_STATUS[failure]);
      },
      onRead: (body) => {
        this.unreadRequests.delete(outgoing);
        const received = { metadata, body, fingerprint: fingerprint.finish() };
        this.openExchange(incoming, outgoing, received);
      },
    });
    const unread = { incoming, metadata, reader };
    this.unreadRequests.set(outgoing, unread);
    if (this.isStopped) this.refuseUnread(outgoing, unread);
    // The body isn't needed after the response has ended, completely or not.
    outgoing.on('close', () => reader.release());
    incoming.on('error', () => outgoing.destroy());
  }

  /**
   * Reports the responses that were queued behind another one when their connection closed. Node reports
   * the close only to the response that was being written.
   */
  private closeQueuedResponses(socket: Socket): void {
    [...this.openResponses]
      .filter((outgoing) => outgoing.socket === null && outgoing.req.socket === socket)
      .forEach((outgoing) => outgoing.emit('close'));
  }

  private removeResponse(outgoing: ServerResponse): void {
    this.unreadRequests.delete(outgoing);
    this.openResponses.delete(outgoing);
    this.lingeringResponses.delete(outgoing);
    if (this.isClosing) this.closeIdleConnections();
    if (this.openResponses.size === 0) this.onResponsesWritten?.();
  }

  /**
   * Refuses a request because the process stops. The response is sent at once; the connection stays
   * open for a while, so that the caller can finish sending and reads the response.
   */
  private refuseUnread(
    outgoing: ServerResponse,
    { incoming, metadata, reader }: UnreadRequest,
  ): void {
    this.unreadRequests.delete(outgoing);
    reader.release();
    outgoing.writeHead(HTTP_UNAVAILABLE, {
      Connection: 'close',
      'Content-Length': '0',
      'Retry-After': STOPPING_RETRY_AFTER_S,
    });
    outgoing.flushHeaders();
    this.lingeringResponses.add(outgoing);
    const lingerTimer = setTimeout(() => outgoing.end(), LINGER_MS);
    outgoing.on('close', () => clearTimeout(lingerTimer));
    incoming.on('end', () => outgoing.end());
    incoming.resume();
    this.options.onUnreadRefused(metadata.callerAttempt);
  }

  private openExchange(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    received: ReceivedRequest,
  ): void {
    const { onRequestReceived, onDisconnected } = this.options;
    const { idPrefix = '', createExchange } = this.options;
    const requestId = `${idPrefix}${this.nextRequestNumber}`;
    this.nextRequestNumber += 1;
    const exchange =
      createExchange?.(requestId, received, incoming, outgoing) ??
      new CallerExchange(requestId, received, incoming, outgoing);
    outgoing.on('error', () => {});
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) onDisconnected(requestId, findCloseReason(incoming.socket));
    });
    const [path = '/'] = (incoming.url ?? '/').split('?');
    onRequestReceived(exchange, path, incoming.headers.host ?? '');
  }

  // eslint-disable-next-line class-methods-use-this
  private refuse(incoming: IncomingMessage, outgoing: ServerResponse, status: number): void {
    const retryHeaders = status === HTTP_UNAVAILABLE ? { 'Retry-After': RETRY_AFTER_S } : {};
    outgoing.writeHead(status, { Connection: 'close', 'Content-Length': '0', ...retryHeaders });
    outgoing.end();
    incoming.resume();
  }

  /**
   * Answers malformed input with 400. If an earlier request on the connection still waits for its
   * response, closes the connection instead: the caller would take the 400 for that response.
   */
  // eslint-disable-next-line class-methods-use-this
  private handleParseError(socket: Socket): void {
    const { _httpMessage: currentResponse } = socket as Socket & {
      _httpMessage?: ServerResponse | null;
    };
    const hasEarlierRequest =
      currentResponse?.req.complete === true || currentResponse?.headersSent === true;
    if (socket.writable && !hasEarlierRequest) socket.end(BAD_REQUEST_RESPONSE);
    else socket.destroy();
  }
}
