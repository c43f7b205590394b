import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from '../../callers/body-budget.js';

/** Why a request body could not be read completely. The request has not run. */
export type BodyFailure =
  | 'tooLarge'
  /** The body was not complete within `timeoutMs`. */
  | 'tooSlow'
  /** The memory budget for request bodies is used up by other requests. */
  | 'noRoom';

export interface BodyReaderOptions {
  readonly incoming: IncomingMessage;
  /** Memory budget shared by the bodies of all requests. */
  readonly budget: BodyBudget;
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Called with the bytes of the body as they arrive. */
  readonly onChunkRead: (chunk: Buffer) => void;
  /** Called at most once, and never after `onRead`. */
  readonly onFailed: (failure: BodyFailure) => void;
  readonly onRead: (body: Buffer) => void;
}

/**
 * Buffers the complete body of one request. Enforces the size limit, the timeout and the memory
 * budget that all requests share.
 */
export class BodyReader {
  private chunks: Buffer[] = [];

  private bytes = 0;

  private isEnded = false;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: BodyReaderOptions) {
    const { incoming, timeoutMs } = options;
    this.timer = setTimeout(() => this.fail('tooSlow'), timeoutMs);
    incoming.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    incoming.on('end', () => this.handleEnd());
  }

  /** Discards the body and returns its bytes to the budget. */
  release(): void {
    this.isEnded = true;
    clearTimeout(this.timer);
    this.options.budget.release(this.bytes);
    this.bytes = 0;
    this.chunks = [];
  }

  private handleChunk(chunk: Buffer): void {
    if (this.isEnded) return;
    const { budget, maxBytes } = this.options;
    if (this.bytes + chunk.length > maxBytes) {
      this.fail('tooLarge');
    } else if (budget.reserve(chunk.length)) {
      this.bytes += chunk.length;
      this.chunks.push(chunk);
      this.options.onChunkRead(chunk);
    } else {
      this.fail('noRoom');
    }
  }

  private handleEnd(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.timer);
    const body = Buffer.concat(this.chunks, this.bytes);
    this.chunks = [];
    this.options.onRead(body);
  }

  private fail(failure: BodyFailure): void {
    if (this.isEnded) return;
    this.release();
    this.options.onFailed(failure);
  }
}
