import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestMetadata } from '../types.js';
import type { BodyReader } from './body-reader.js';
import { LINGER_MS } from './caller-connection.js';

const HTTP_UNAVAILABLE = 503;

/** `Retry-After` of requests that are refused because the process stops, in seconds. */
const STOPPING_RETRY_AFTER_S = '0.5';

/** A request whose body is still arriving. */
export interface UnreadRequest {
  readonly incoming: IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly reader: BodyReader;
}

/** Refuses requests whose bodies are still arriving when the process stops. */
export class UnreadRefusals {
  /** Complete responses whose callers still send their bodies. */
  private readonly lingering = new Set<ServerResponse>();

  /** @param onRefused called with the caller's id of each request that is refused */
  constructor(private readonly onRefused: (callerAttempt: string | undefined) => void) {}

  /** Number of complete responses whose callers still send. */
  get lingeringCount(): number {
    return this.lingering.size;
  }

  /**
   * Refuses a request as not run. The response is sent at once; the connection stays open for a while, so
   * that the caller can finish sending and reads the response. It goes on if all of the body has arrived.
   */
  refuse(outgoing: ServerResponse, { incoming, metadata, reader }: UnreadRequest): void {
    reader.release();
    if (!incoming.complete) outgoing.shouldKeepAlive = false;
    outgoing.writeHead(HTTP_UNAVAILABLE, {
      'Content-Length': '0',
      'Retry-After': STOPPING_RETRY_AFTER_S,
    });
    outgoing.flushHeaders();
    this.lingering.add(outgoing);
    const lingerTimer = setTimeout(() => outgoing.end(), LINGER_MS);
    outgoing.on('close', () => clearTimeout(lingerTimer));
    incoming.on('end', () => outgoing.end());
    incoming.resume();
    this.onRefused(metadata.callerAttempt);
  }

  /** Forgets a response whose connection goes on or has closed. */
  remove(outgoing: ServerResponse): void {
    this.lingering.delete(outgoing);
  }
}
