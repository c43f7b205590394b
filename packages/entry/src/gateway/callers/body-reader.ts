import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from '../../callers/body-budget.js';

/** Why a body was not read to its end; nothing of the request has run. */
export type BodyFailure =
  | 'tooLarge'
  /** Its caller sent more slowly than it waits. */
  | 'tooSlow'
  /** Bodies of other requests fill the memory for them. */
  | 'noRoom';

export interface BodyReaderOptions {
  readonly incoming: IncomingMessage;
  readonly budget: BodyBudget;
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Called at most once, and never after `onRead`. */
  readonly onFailed: (failure: BodyFailure) => void;
  readonly onRead: (body: Buffer) => void;
}

/** Reads one request's body whole, within bounds of size, time and the memory of all bodies. */
export class BodyReader {
  private chunks: Buffer[] = [];

  private bytes = 0;

  private ended = false;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: BodyReaderOptions) {
    const { incoming, timeoutMs } = options;
    this.timer = setTimeout(() => this.fail('tooSlow'), timeoutMs);
    incoming.on('data', (chunk: Buffer) => this.acceptChunk(chunk));
    incoming.on('end', () => this.acceptEnd());
  }

  /** The body is needed no more. */
  release(): void {
    this.ended = true;
    clearTimeout(this.timer);
    this.options.budget.release(this.bytes);
    this.bytes = 0;
    this.chunks = [];
  }

  private acceptChunk(chunk: Buffer): void {
    if (this.ended) return;
    const { budget, maxBytes } = this.options;
    if (this.bytes + chunk.length > maxBytes) {
      this.fail('tooLarge');
    } else if (budget.take(chunk.length)) {
      this.bytes += chunk.length;
      this.chunks.push(chunk);
    } else {
      this.fail('noRoom');
    }
  }

  private acceptEnd(): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.timer);
    const body = Buffer.concat(this.chunks, this.bytes);
    this.chunks = [];
    this.options.onRead(body);
  }

  private fail(failure: BodyFailure): void {
    if (this.ended) return;
    this.release();
    this.options.onFailed(failure);
  }
}
