import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayRefusal } from '@savorywind/decisions';
import type { RequestFacts } from '../types.js';
import { listEndToEndHeaders } from './end-to-end-headers.js';
import { REFUSAL_STATUS } from './refusal-statuses.js';

const MS_PER_S = 1_000;

/** Header that a resumed stream replaces by its own. */
const LAST_EVENT_ID = 'last-event-id';

/** One request of a caller that was read whole, and its answer. */
export class CallerExchange {
  constructor(
    readonly requestId: string,
    readonly facts: RequestFacts,
    readonly body: Buffer,
    private readonly incoming: IncomingMessage,
    private readonly outgoing: ServerResponse,
  ) {}

  get method(): string {
    return this.incoming.method ?? 'GET';
  }

  /** Path and query as they came. */
  get url(): string {
    return this.incoming.url ?? '/';
  }

  /** Headers for an endpoint, as name and value by turns. */
  listHeaders(isPassedOn: (name: string) => boolean, replacesEventId: boolean): string[] {
    const passed = listEndToEndHeaders(
      this.incoming.rawHeaders,
      (name) => isPassedOn(name) && !(replacesEventId && name === LAST_EVENT_ID),
    );
    if (this.hasBody()) passed.push('Content-Length', String(this.body.length));
    return passed;
  }

  /** Passes the head of an endpoint's answer on; does nothing where one has gone out. */
  sendHead(answer: IncomingMessage, length: number | undefined): void {
    const { outgoing } = this;
    if (outgoing.headersSent || outgoing.destroyed) return;
    const headers = listEndToEndHeaders(answer.rawHeaders, () => true);
    if (length !== undefined) headers.push('Content-Length', String(length));
    outgoing.sendDate = false;
    outgoing.writeHead(answer.statusCode ?? 0, headers as never);
  }

  /** @returns false where the caller reads more slowly than the answer comes */
  send(chunk: Buffer): boolean {
    return this.outgoing.write(chunk);
  }

  onceWritable(callback: () => void): void {
    this.outgoing.once('drain', callback);
  }

  finish(): void {
    this.outgoing.end();
  }

  /** Ends the connection, so that the answer does not look complete. */
  breakOff(): void {
    this.outgoing.destroy();
  }

  refuse({ reason, retryAfterMs }: GatewayRefusal): void {
    const { outgoing } = this;
    if (outgoing.destroyed) return;
    const body = JSON.stringify({ reason });
    const headers: Record<string, string> = {
      'Content-Type': 'application/json',
      'Content-Length': String(Buffer.byteLength(body)),
    };
    if (retryAfterMs !== undefined) headers['Retry-After'] = (retryAfterMs / MS_PER_S).toFixed(3);
    outgoing.writeHead(REFUSAL_STATUS[reason], headers);
    outgoing.end(body);
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
