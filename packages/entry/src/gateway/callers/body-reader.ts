import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from '../../callers/body-budget.js';
import { REQUEST_PRICE_BYTES } from '../memory/consts.js';
import type { UnfinishedBodies, UnfinishedBody } from '../memory/unfinished-bodies.js';

/** Memory for bodies, and the list of those that are read where they make room for others. */
export type BodyRoom = Pick<BodyBudget, 'release'> & {
  /** @param taker the body that needs it, if there is one already */
  readonly reserve: (bytes: number, taker?: UnfinishedBody) => boolean;
} & Partial<Pick<UnfinishedBodies, 'addBody' | 'removeBody' | 'reserveFree'>>;

/** Why a request body could not be read completely. The request has not run. */
export type BodyFailure =
  | 'tooLarge'
  /** The body was not complete within `timeoutMs`. */
  | 'tooSlow'
  /** The memory budget for request bodies is used up by other requests. */
  | 'noRoom'
  /** Others needed the memory more than a body that stopped short of its end. */
  | 'pushedOut';

export interface BodyReaderOptions {
  readonly incoming: IncomingMessage;
  /** Memory budget shared by the bodies of all requests. */
  readonly budget: BodyRoom;
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /**
   * Called with the bytes of the body as they arrive, small chunks joined. The bytes are valid during the call.
   */
  readonly onChunkRead: (bytes: Buffer) => void;
  /** Called at most once, and never after `onRead`. */
  readonly onFailed: (failure: BodyFailure) => void;
  readonly onRead: (body: Buffer) => void;
}

/** Least memory that is reserved for the second chunk of a body, in bytes. */
const MIN_CAPACITY = 1_024;

/** Bytes that are reported at once while more are to come. Small chunks would take a call each. */
const REPORTED_BYTES = 65_536;

/**
 * Buffers the complete body of one request. Enforces the size limit, the timeout and the memory
 * budget that all requests share. The bytes are copied into one buffer as they arrive: a chunk of a few
 * bytes takes some hundred as an object of its own.
 */
export class BodyReader implements UnfinishedBody {
  private storage = Buffer.alloc(0);

  private bytes = 0;

  /** Part of the bytes that was reported. */
  private reportedBytes = 0;

  private isEnded = false;

  private readonly timer: NodeJS.Timeout;

  private readonly maxCapacity: number;

  constructor(private readonly options: BodyReaderOptions) {
    const { incoming, timeoutMs, maxBytes } = options;
    const declaredBytes = Number(incoming.headers?.['content-length'] ?? maxBytes);
    this.maxCapacity = Math.min(maxBytes, declaredBytes);
    this.timer = setTimeout(() => this.fail('tooSlow'), timeoutMs);
    this.options.budget.addBody?.(this);
    incoming.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    incoming.on('end', () => this.handleEnd());
  }

  get heldBytes(): number {
    return REQUEST_PRICE_BYTES + this.storage.length;
  }

  refuse(): void {
    this.fail('pushedOut');
  }

  /** Discards the body and returns its bytes to the budget. */
  release(): void {
    this.endReading();
    this.options.budget.release(this.storage.length);
    this.bytes = 0;
    this.storage = Buffer.alloc(0);
  }

  private handleChunk(chunk: Buffer): void {
    if (this.isEnded) return;
    const neededBytes = this.bytes + chunk.length;
    if (neededBytes > this.options.maxBytes) {
      this.fail('tooLarge');
    } else if (neededBytes <= this.storage.length || this.grow(neededBytes)) {
      this.storage.set(chunk, this.bytes);
      this.bytes = neededBytes;
      if (this.bytes - this.reportedBytes >= REPORTED_BYTES) this.reportBytes();
    } else {
      this.fail('noRoom');
    }
  }

  /**
   * Makes room for more bytes: for twice as many, so that each byte is copied about once more on average, or
   * just for those that are needed if the budget has no more.
   *
   * @returns false if the budget is used up
   */
  private grow(neededBytes: number): boolean {
    const { budget } = this.options;
    const { length } = this.storage;
    // Most bodies come in one chunk, and take no more than its size.
    const doubled = length === 0 ? neededBytes : Math.max(2 * length, MIN_CAPACITY, neededBytes);
    const wanted = Math.max(neededBytes, Math.min(doubled, this.maxCapacity));
    const capacity = this.reserveCapacity(wanted, neededBytes);
    if (capacity === undefined) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    grown.set(this.storage.subarray(0, this.bytes), 0);
    this.storage = grown;
    budget.release(length);
    return true;
  }

  /** Others are refused only for what is needed. */
  private reserveCapacity(wantedBytes: number, neededBytes: number): number | undefined {
    const { budget } = this.options;
    const hasFree = budget.reserveFree?.(wantedBytes) ?? budget.reserve(wantedBytes, this);
    if (hasFree) return wantedBytes;
    return budget.reserve(neededBytes, this) ? neededBytes : undefined;
  }

  private reportBytes(): void {
    this.options.onChunkRead(this.storage.subarray(this.reportedBytes, this.bytes));
    this.reportedBytes = this.bytes;
  }

  private handleEnd(): void {
    if (this.isEnded) return;
    this.endReading();
    if (this.bytes > this.reportedBytes) this.reportBytes();
    this.options.onRead(this.storage.subarray(0, this.bytes));
  }

  private endReading(): void {
    this.isEnded = true;
    clearTimeout(this.timer);
    this.options.budget.removeBody?.(this);
  }

  private fail(failure: BodyFailure): void {
    if (this.isEnded) return;
    this.release();
    this.options.onFailed(failure);
  }
}
