import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits, NetworkAddress } from '@savorywind/model';
import { BodyBudget } from '../../callers/body-budget.js';
import type { GatewayWire, RequestFacts } from '../types.js';
import { BodyReader, type BodyFailure } from './body-reader.js';
import { CallerExchange } from './caller-exchange.js';

/** Bytes of a head that the parser takes; the declared limit is checked on top. */
const MAX_PARSED_HEAD_BYTES = 65_536;

/** How often connections that send too slowly are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Kept connections stay open this much longer than callers use them, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;

/** Limits until the configuration is known. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Longest time for a body of a caller that does not say how long it waits, in milliseconds. */
const MAX_BODY_MS = 30_000;

/** Bytes of bodies that are held for all requests: a quarter of the smallest VM's 250 MB. */
const MAX_HELD_BYTES = 64_000_000;

/** 408 and 503 promise that the request has not run. */
const BODY_FAILURE_STATUS: Readonly<Record<BodyFailure, number>> = {
  tooLarge: 413,
  tooSlow: 408,
  noRoom: 503,
};

const HEADERS_TOO_LARGE = 431;
const UNAVAILABLE = 503;

/** When a caller for whose body there is no room comes back: bodies are held for seconds. */
const COME_BACK_S = '1';

const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

export interface FrontServerOptions {
  readonly address: NetworkAddress;
  readonly wire: GatewayWire;
  readonly onRequest: (exchange: CallerExchange, path: string, host: string) => void;
  /** The caller went away before its answer was complete. */
  readonly onGone: (requestId: string) => void;
}

const countHeadBytes = (rawHeaders: readonly string[]): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

/** Takes callers' connections and reads their requests whole. */
export class FrontServer {
  private readonly server: Server;

  private limits = FIRST_LIMITS;

  private stopping = false;

  private nextRequest = 1;

  private readonly bodies = new BodyBudget(MAX_HELD_BYTES);

  constructor(private readonly options: FrontServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSED_HEAD_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
        headersTimeout: FIRST_LIMITS.headerTimeoutMs,
        noDelay: true,
      },
      (incoming, outgoing) => this.accept(incoming, outgoing),
    );
    this.server.maxHeadersCount = 0;
    this.server.on('clientError', (_fault, socket) => this.acceptBadInput(socket as Socket));
  }

  start(): Promise<void> {
    const { host, port } = this.options.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  changeLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** From now on every answer asks its caller to open another connection next time. */
  announceStop(): void {
    this.stopping = true;
  }

  /** Takes no more connections and ends those that are idle. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** As `close`, also where it was called before; connections in use end with their answers. */
  stop(): void {
    if (this.server.listening) this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends all connections, also those in use. */
  destroyConnections(): void {
    this.server.closeAllConnections();
  }

  private accept(incoming: IncomingMessage, outgoing: ServerResponse): void {
    if (this.stopping) outgoing.shouldKeepAlive = false;
    if (countHeadBytes(incoming.rawHeaders) > this.limits.maxHeaderBytes) {
      this.reject(incoming, outgoing, HEADERS_TOO_LARGE);
      return;
    }
    this.readBody(incoming, outgoing);
  }

  private readBody(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const facts = this.options.wire.readRequest(incoming.headers);
    const reader = new BodyReader({
      incoming,
      budget: this.bodies,
      maxBytes: this.limits.maxBodyBytes,
      timeoutMs: Math.min(facts.waitsMs ?? MAX_BODY_MS, MAX_BODY_MS),
      onFailed: (failure) => this.reject(incoming, outgoing, BODY_FAILURE_STATUS[failure]),
      onRead: (body) => this.open(incoming, outgoing, facts, body),
    });
    // An answer that ends, whole or not, needs the body no more.
    outgoing.on('close', () => reader.release());
    incoming.on('error', () => outgoing.destroy());
  }

  private open(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    facts: RequestFacts,
    body: Buffer,
  ): void {
    const { onRequest, onGone } = this.options;
    const requestId = String(this.nextRequest);
    this.nextRequest += 1;
    const exchange = new CallerExchange(requestId, facts, body, incoming, outgoing);
    outgoing.on('error', () => {});
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) onGone(requestId);
    });
    const [path = '/'] = (incoming.url ?? '/').split('?');
    onRequest(exchange, path, incoming.headers.host ?? '');
  }

  // eslint-disable-next-line class-methods-use-this
  private reject(incoming: IncomingMessage, outgoing: ServerResponse, status: number): void {
    const comeBack = status === UNAVAILABLE ? { 'Retry-After': COME_BACK_S } : {};
    outgoing.writeHead(status, { Connection: 'close', 'Content-Length': '0', ...comeBack });
    outgoing.end();
    incoming.resume();
  }

  /**
   * Answers bytes that are no request, or break the one that is being read; not where an earlier
   * request still waits for its answer, which would be taken for this one.
   */
  // eslint-disable-next-line class-methods-use-this
  private acceptBadInput(socket: Socket): void {
    const { _httpMessage: unanswered } = socket as Socket & {
      _httpMessage?: ServerResponse | null;
    };
    const isEarlier = unanswered?.req.complete === true || unanswered?.headersSent === true;
    if (socket.writable && !isEarlier) socket.end(BAD_REQUEST);
    else socket.destroy();
  }
}
