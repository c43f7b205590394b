import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { CloseReason } from '@savorywind/decisions';
import type { CallerLimits, NetworkAddress } from '@savorywind/model';
import { BodyBudget } from '../../callers/body-budget.js';
import { findRequestHeadFault } from '../../http/find-request-head-fault.js';
import type { CallerConnections, ConnectionSide } from '../memory/caller-connections.js';
import { computeRequestPrice } from '../memory/head-prices.js';
import type { ShortageReason } from '../memory/types.js';
import type { GatewayWire, RequestMetadata } from '../types.js';
import { openAddress } from '../open-address.js';
import { BodyReader, type BodyFailure, type BodyRoom } from './body-reader.js';
import { CallerConnection } from './caller-connection.js';
import { CallerExchange, type ReceivedRequest } from './caller-exchange.js';
import { findCloseReason, recordClose } from './closed-connections.js';
import { findInputStatus } from './input-refusals.js';
import { ParsingTurns } from './parsing-turns.js';
import { RequestFingerprint } from './request-fingerprint.js';
import { UnreadRefusals, type UnreadRequest } from './unread-refusals.js';

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

/** Memory for the bodies of all requests together, in bytes, where no budget is given. */
const MAX_BUFFERED_BODY_BYTES = 64_000_000;

/** What the parser reports of a head that is too large. */
const TRAILERS_TOO_LARGE = { code: 'HPE_HEADER_OVERFLOW' } as NodeJS.ErrnoException;

/** Callers take 408 and 503 as a guarantee that the request has not run. */
const BODY_FAILURE_STATUS: Readonly<Record<BodyFailure, number>> = {
  tooLarge: 413,
  tooSlow: 408,
  noRoom: 503,
  pushedOut: 503,
};

const HTTP_BAD_REQUEST = 400;
const HTTP_FORBIDDEN = 403;
const HTTP_EXPECTATION_FAILED = 417;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;

/** `Retry-After` if the body budget is used up, in seconds: other bodies are released within seconds. */
const RETRY_AFTER_S = '1';

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
  readonly bodyBudget?: BodyRoom;
  /** Counts the connections of several servers together; none are counted if this is missing. */
  readonly connections?: CallerConnections;
  /** Who opens the connections; `callers` by default. */
  readonly side?: ConnectionSide;
  /** Shares processor time among the connections of several servers; those of this one if it is missing. */
  readonly turns?: ParsingTurns;
  /** Called when a request is refused for want of memory. */
  readonly onShortage?: (reason: ShortageReason) => void;
  /** Begins the ids of its requests, so that those of several servers differ. */
  readonly idPrefix?: string;
  /** Size by which heads may exceed the limit of callers, in bytes. */
  readonly extraHeadBytes?: number;
  /** Whether a request is read; others are refused with 403. All are read if this is missing. */
  readonly isAllowed?: (incoming: IncomingMessage) => boolean;
  readonly createExchange?: CreateExchange;
  /** Whether a caller that closes its direction of the connection has left. It may wait otherwise. */
  readonly isHalfCloseLeaving?: boolean;
  /** Called when a peer opens a connection for another protocol. */
  readonly onUpgrade?: (incoming: IncomingMessage, socket: Duplex, head: Buffer) => void;
  /** Called with the complete request, its path without the query, and its Host header. */
  readonly onRequestReceived: (exchange: CallerExchange, path: string, host: string) => void;
  /** Called when a request is refused with 400, as its head can't be passed on, with what is wrong. */
  readonly onHeadRefused?: (detail: string) => void;
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

/** Counts the bytes of a request's headers, with two bytes of separators for each name and value. */
const countHeadBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** Takes the time that a request waited on its connection off the time that its caller waits. */
const reduceWait = (metadata: RequestMetadata, heldMs: number): RequestMetadata =>
  metadata.waitsMs === undefined
    ? metadata
    : { ...metadata, waitsMs: Math.max(0, metadata.waitsMs - heldMs) };

/**
 * HTTP server for callers. Reads the complete body of a request before it reports the request, and reports
 * one request of a connection at a time.
 */
export class RequestServer {
  private readonly server: Server;

  private limits = INITIAL_LIMITS;

  private isStopping = false;

  private nextRequestNumber = 1;

  private readonly bodyBudget: BodyRoom;

  private readonly turns: ParsingTurns;

  private readonly connections = new Map<Duplex, CallerConnection>();

  /** Responses that are not yet handed to the operating system completely. */
  private readonly openResponses = new Set<ServerResponse>();

  private readonly unreadRequests = new Map<ServerResponse, UnreadRequest>();

  private readonly unreadRefusals: UnreadRefusals;

  /** Whether new connections are no longer accepted. */
  private isClosing = false;

  private isStopped = false;

  private onResponsesWritten: (() => void) | undefined;

  constructor(private readonly options: RequestServerOptions) {
    this.bodyBudget = options.bodyBudget ?? new BodyBudget(MAX_BUFFERED_BODY_BYTES);
    this.turns = options.turns ?? new ParsingTurns();
    this.unreadRefusals = new UnreadRefusals(options.onUnreadRefused);
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEAD_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
        headersTimeout: INITIAL_LIMITS.headerTimeoutMs,
        noDelay: true,
        // Node's own response to a request without it would not keep the order on the connection.
        requireHostHeader: false,
      },
      (incoming, outgoing) => this.handleRequest(incoming, outgoing),
    );
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket) => this.openConnection(socket));
    this.countConnections();
    this.server.on('checkExpectation', (incoming, outgoing) =>
      this.handleRequest(incoming, outgoing, HTTP_EXPECTATION_FAILED),
    );
    const { onUpgrade } = options;
    if (onUpgrade !== undefined) {
      this.server.on('upgrade', (incoming, socket) =>
        onUpgrade(incoming, socket, this.connections.get(socket)?.detach() ?? Buffer.alloc(0)),
      );
    }
    this.server.on('connect', (_incoming, socket) =>
      this.connections.get(socket)?.refuseInput(HTTP_BAD_REQUEST),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.handleInputError(error, socket as Socket),
    );
  }

  /** Number of requests whose response is not yet handed to the operating system completely. */
  get openResponseCount(): number {
    return this.openResponses.size - this.unreadRefusals.lingeringCount;
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

  /** Sends `Connection: close` with the last response of each connection from now on. */
  stopKeepAlive(): void {
    this.isStopping = true;
    this.connections.forEach((connection) => connection.updateKeepAlive());
  }

  /**
   * Stops accepting connections, closes idle ones and refuses requests whose body is still arriving.
   * Connections in use close after the responses to what has arrived. May be called more than once.
   */
  close(): void {
    this.isClosing = true;
    this.stopKeepAlive();
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
    const isInUse = [...this.connections.values()].some(
      ({ isLingering, hasInputQueued }) => isLingering || hasInputQueued,
    );
    if (!isSending && !isInUse) this.server.closeIdleConnections();
  }

  private openConnection(socket: Socket): void {
    const connection = new CallerConnection({
      socket,
      turns: this.turns,
      mayHalfClose: this.options.isHalfCloseLeaving !== true,
      isStopping: () => this.isStopping,
      isClosing: () => this.isClosing,
      onInputHeld: (bytes, bodyBytes) =>
        this.options.connections?.setHeld(socket, bytes, bodyBytes),
      trailers: {
        getMaxBytes: () => this.limits.maxHeaderBytes,
        onExceeded: () => this.handleInputError(TRAILERS_TOO_LARGE, socket),
      },
    });
    this.connections.set(socket, connection);
    socket.on('close', () => {
      this.connections.delete(socket);
      if (this.isClosing) this.closeIdleConnections();
    });
  }

  /** @param refusedStatus status with which the request is refused without reading its body */
  private handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    refusedStatus?: number,
  ): void {
    const connection = this.connections.get(incoming.socket);
    connection?.openNext(incoming, outgoing);
    this.openResponses.add(outgoing);
    // Before the connection goes on: it may be refused with this response.
    this.options.connections?.addRequest(incoming, outgoing);
    outgoing.on('close', () => this.removeResponse(outgoing, connection));
    if (refusedStatus !== undefined) {
      this.refuse(incoming, outgoing, refusedStatus);
      return;
    }
    const { isAllowed, extraHeadBytes = 0 } = this.options;
    if (incoming.httpVersion === '1.1' && incoming.headers.host === undefined) {
      this.refuse(incoming, outgoing, HTTP_BAD_REQUEST);
      return;
    }
    if (isAllowed?.(incoming) === false) {
      this.refuse(incoming, outgoing, HTTP_FORBIDDEN);
      return;
    }
    if (countHeadBytes(incoming.rawHeaders) > this.limits.maxHeaderBytes + extraHeadBytes) {
      this.refuse(incoming, outgoing, HTTP_HEADERS_TOO_LARGE);
      return;
    }
    const fault = findRequestHeadFault(incoming);
    if (fault !== undefined) {
      this.options.onHeadRefused?.(fault);
      this.refuse(incoming, outgoing, HTTP_BAD_REQUEST);
      return;
    }
    if (!this.reserveRequest(incoming, outgoing)) return;
    this.readBody(incoming, outgoing, connection);
  }

  /** Reports connections to those who count them, before any of their requests. */
  private countConnections(): void {
    const { connections, side = 'callers' } = this.options;
    if (connections === undefined) return;
    // An option of net.createServer, which http.createServer does not pass on.
    Object.assign(this.server, { pauseOnConnect: true });
    this.server.on('connection', (socket) =>
      connections.accept(socket, side, () => this.connections.get(socket)?.dropInput()),
    );
  }

  /** Reserves memory for a request without its body until its response ends, or refuses it. */
  private reserveRequest(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
    const priceBytes = computeRequestPrice(incoming);
    if (!this.bodyBudget.reserve(priceBytes)) {
      this.options.onShortage?.('requests');
      this.refuse(incoming, outgoing, HTTP_UNAVAILABLE);
      return false;
    }
    outgoing.on('close', () => this.bodyBudget.release(priceBytes));
    return true;
  }

  private readBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    connection: CallerConnection | undefined,
  ): void {
    const heldMs = connection?.heldMs ?? 0;
    const metadata = reduceWait(this.options.wire.readRequest(incoming.headers), heldMs);
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
        if (failure === 'noRoom') this.options.onShortage?.('requests');
        this.refuse(incoming, outgoing, BODY_FAILURE_STATUS[failure]);
      },
      onRead: (body) => {
        this.unreadRequests.delete(outgoing);
        // Nobody uses the trailers.
        Object.assign(incoming, { rawTrailers: [] });
        const received = { metadata, body, fingerprint: fingerprint.finish() };
        this.openExchange(incoming, outgoing, received);
      },
    });
    const unread = { incoming, metadata, reader };
    this.unreadRequests.set(outgoing, unread);
    if (this.isStopped || connection?.isInputCut) {
      // What has arrived of the body is read by then, and the connection can go on if that is all of it.
      process.nextTick(() => this.refuseUnread(outgoing, unread));
    }
    // The body isn't needed after the response has ended, completely or not.
    outgoing.on('close', () => reader.release());
    incoming.on('error', () => outgoing.destroy());
  }

  private removeResponse(outgoing: ServerResponse, connection: CallerConnection | undefined): void {
    this.unreadRequests.delete(outgoing);
    this.openResponses.delete(outgoing);
    this.unreadRefusals.remove(outgoing);
    connection?.finishOpen(outgoing);
    if (this.isClosing) this.closeIdleConnections();
    if (this.openResponses.size === 0) this.onResponsesWritten?.();
  }

  private refuseUnread(outgoing: ServerResponse, unread: UnreadRequest): void {
    if (this.unreadRequests.delete(outgoing)) this.unreadRefusals.refuse(outgoing, unread);
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
   * Refuses input that is no request. Malformed bytes in a body end the request that it belongs to, which
   * has not run; all earlier ones of the connection have their responses.
   */
  private handleInputError({ code, syscall }: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    const status = findInputStatus(code);
    if (status === undefined || connection === undefined) {
      // An error of a system call shows that the caller has left.
      if (syscall === undefined) recordClose(socket, 'malformedInput');
      socket.destroy();
      return;
    }
    const { openRequest } = connection;
    if (openRequest === undefined) {
      connection.refuseInput(status);
      return;
    }
    const { incoming, outgoing } = openRequest;
    this.unreadRequests.get(outgoing)?.reader.release();
    this.unreadRequests.delete(outgoing);
    if (outgoing.headersSent) outgoing.end();
    else this.refuse(incoming, outgoing, status);
  }
}
