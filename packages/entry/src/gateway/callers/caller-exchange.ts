import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CloseReason, EndpointProcess, GatewayRefusal } from '@savorywind/decisions';
import { isForwardingHeader } from '../peers/forwarding-headers.js';
import type { RequestMetadata } from '../types.js';
import { recordClose } from './closed-connections.js';
import { listEndToEndHeaders } from './end-to-end-headers.js';
import { REFUSAL_STATUS } from './refusal-statuses.js';

const MS_PER_S = 1_000;

/**
 * Longest time for which a response that is broken off is written to a caller that reads slowly, in
 * milliseconds.
 */
const BREAK_OFF_FLUSH_MS = 1_000;

/** The gateway sets this header itself when it resumes a stream at another endpoint. */
const LAST_EVENT_ID_HEADER = 'last-event-id';

/** What was received of a request. */
export interface ReceivedRequest {
  readonly metadata: RequestMetadata;
  readonly body: Buffer;
  /** The same for requests with the same method, host, path, query, credential and body. */
  readonly fingerprint: string;
}

/** A caller's request with its complete body, and the response to it. */
export class CallerExchange {
  constructor(
    readonly requestId: string,
    readonly received: ReceivedRequest,
    private readonly incoming: IncomingMessage,
    private readonly outgoing: ServerResponse,
  ) {}

  get metadata(): RequestMetadata {
    return this.received.metadata;
  }

  get body(): Buffer {
    return this.received.body;
  }

  get method(): string {
    return this.incoming.method ?? 'GET';
  }

  /** Path and query string as received. */
  get url(): string {
    return this.incoming.url ?? '/';
  }

  /**
   * Lists the request headers to forward to an endpoint or a peer, as alternating names and values.
   *
   * @param isEventIdReplaced whether the caller's `Last-Event-Id` is left out
   */
  listForwardedHeaders(
    isForwarded: (name: string) => boolean,
    isEventIdReplaced: boolean,
  ): string[] {
    const headers = listEndToEndHeaders(
      this.incoming.rawHeaders,
      (name) =>
        isForwarded(name) &&
        !isForwardingHeader(name) &&
        !(isEventIdReplaced && name === LAST_EVENT_ID_HEADER),
    );
    if (this.hasBody()) headers.push('Content-Length', String(this.body.length));
    return headers;
  }

  /**
   * Forwards the status and headers of an endpoint's response. Does nothing if headers were already
   * sent to the caller or its connection has closed.
   *
   * @param contentLength length of the body in bytes; undefined if it is not known yet
   */
  sendHead(response: IncomingMessage, contentLength: number | undefined): void {
    const { outgoing } = this;
    if (outgoing.headersSent || outgoing.destroyed) return;
    const headers = listEndToEndHeaders(response.rawHeaders, (name) => !isForwardingHeader(name));
    headers.push(...this.listServedHeaders());
    if (contentLength !== undefined) headers.push('Content-Length', String(contentLength));
    outgoing.sendDate = false;
    outgoing.writeHead(response.statusCode ?? 0, headers as never);
  }

  /**
   * Sends a part of the response body.
   *
   * @returns false if the connection's write buffer is full; see `waitForDrain`
   */
  send(chunk: Buffer): boolean {
    return this.outgoing.write(chunk);
  }

  /** Calls back once the connection's write buffer is empty again. */
  waitForDrain(onDrained: () => void): void {
    this.outgoing.once('drain', onDrained);
  }

  /** Calls back once the response has ended, completely or not; at once if it has ended before. */
  waitForClose(onClosed: () => void): void {
    if (this.outgoing.closed) onClosed();
    else this.outgoing.once('close', onClosed);
  }

  /** Whether the response has ended, completely or not. */
  get isClosed(): boolean {
    return this.outgoing.closed;
  }

  /** Bytes that were sent and not yet handed to the operating system. */
  get waitingBytes(): number {
    return this.outgoing.writableLength;
  }

  finish(): void {
    this.outgoing.end();
  }

  /** Closes the connection at once, so that nothing of what was sent stays in memory. */
  disconnect(reason: CloseReason): void {
    const { socket } = this.incoming;
    recordClose(socket, reason);
    socket.resetAndDestroy();
  }

  /**
   * Closes the connection, so that the caller sees that the response is incomplete, after what was
   * written has been sent. A response by HTTP/1.0 may end with its connection, so it is reset.
   */
  abort(): void {
    const { incoming, outgoing } = this;
    if (incoming.httpVersion === '1.0') outgoing.socket?.resetAndDestroy();
    if (outgoing.socket === null || outgoing.writableLength === 0) {
      outgoing.destroy();
      return;
    }
    outgoing.socket.destroySoon();
    const timer = setTimeout(() => outgoing.destroy(), BREAK_OFF_FLUSH_MS);
    outgoing.on('close', () => clearTimeout(timer));
  }

  /**
   * Ends a request whose answer can't be passed on, visibly: with an error response if nothing was sent,
   * else by closing the connection.
   */
  fail(): void {
    const { outgoing } = this;
    if (!outgoing.headersSent && !outgoing.destroyed) {
      try {
        this.refuse({ reason: 'broken', retryAfterMs: undefined });
        return;
      } catch {
        // The connection is closed instead.
      }
    }
    this.abort();
  }

  /** Sends an error response that the gateway creates itself. */
  refuse(refusal: GatewayRefusal): void {
    const { reason, retryAfterMs } = refusal;
    const { outgoing } = this;
    if (outgoing.destroyed) return;
    const body = JSON.stringify({ reason });
    const headers: Record<string, string> = {
      'Content-Type': 'application/json',
      'Content-Length': String(Buffer.byteLength(body)),
    };
    Object.assign(headers, this.listRefusalHeaders(refusal));
    if (retryAfterMs !== undefined) headers['Retry-After'] = (retryAfterMs / MS_PER_S).toFixed(3);
    outgoing.writeHead(REFUSAL_STATUS[reason], headers);
    outgoing.end(body);
  }

  /** Records which endpoint sends the response; undefined if a peer passes it on. */
  // eslint-disable-next-line class-methods-use-this
  recordEndpoint(_endpoint: EndpointProcess | undefined): void {}

  /** Lists headers that this entry VM adds to the response of an endpoint. */
  // eslint-disable-next-line class-methods-use-this
  protected listServedHeaders(): string[] {
    return [];
  }

  /** Lists headers that describe a refusal besides its status. */
  // eslint-disable-next-line class-methods-use-this
  protected listRefusalHeaders(_refusal: GatewayRefusal): Record<string, string> {
    return {};
  }

  private hasBody(): boolean {
    const { headers } = this.incoming;
    return (
      this.body.length > 0 ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined
    );
  }
}
