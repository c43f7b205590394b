import type { ChunkData } from '../context/types.js';
import { TextDigest } from './text-digest.js';

/**
 * Why a chunk can't be part of the answer. `gap`: it starts after the expected position. `overlap`:
 * it starts before that and can't be split. `diverged`: the regenerated text differs from what was
 * sent.
 */
export type ChunkFault = 'gap' | 'overlap' | 'diverged';

/** What to do with a chunk: send it to the caller, drop it, or fail the attempt. */
export type ChunkVerdict =
  | { readonly kind: 'pass'; readonly count: number; readonly data: ChunkData }
  /** The caller already has the data. */
  | { readonly kind: 'skip' }
  | { readonly kind: 'fault'; readonly fault: ChunkFault };

const SKIP: ChunkVerdict = { kind: 'skip' };

/**
 * Tracks how much of an answer the caller has received over all attempts. Removes data that arrives
 * again, and compares a regenerated answer with a digest of what was sent.
 *
 * @example
 * const answer = new AnswerProgress();
 * answer.addChunk(0, 1, 'a'); // { kind: 'pass', count: 1, data: 'a' }
 * answer.addChunk(0, 1, 'a'); // { kind: 'skip' }
 * answer.isComplete(1); // true
 */
export class AnswerProgress {
  /** Tokens or bytes sent to the caller. */
  sentCount = 0;

  /** Position in the answer that the current attempt has reached, in tokens or bytes. */
  private attemptPosition = 0;

  private readonly sentDigest = new TextDigest();

  /** Digest of regenerated text; undefined unless the current attempt is catching up. */
  private repeatedDigest: TextDigest | undefined;

  /** Prepares for an attempt that delivers the answer from its start. */
  restart(): void {
    this.attemptPosition = 0;
    this.repeatedDigest = this.sentDigest.length > 0 ? new TextDigest() : undefined;
  }

  /** Prepares for an attempt that continues after the data that the caller has. */
  resume(): void {
    this.attemptPosition = this.sentCount;
    this.repeatedDigest = undefined;
  }

  /** Whether the caller has received all of an answer of this size, in tokens or bytes. */
  isComplete(total: number): boolean {
    return this.repeatedDigest === undefined && total === this.sentCount;
  }

  /** Whether an attempt that regenerates the answer has not yet reached the caller's position. */
  get isCatchingUp(): boolean {
    return this.repeatedDigest !== undefined;
  }

  /**
   * @param offset position of the chunk's first token or byte in the complete answer
   * @param count tokens or bytes in the chunk
   */
  addChunk(offset: number, count: number, data: ChunkData): ChunkVerdict {
    const end = offset + count;
    if (end <= this.attemptPosition) return SKIP;
    if (offset > this.attemptPosition) return { kind: 'fault', fault: 'gap' };
    if (typeof data !== 'string')
      return this.takeBytes(data.subarray(this.attemptPosition - offset));
    // A text chunk can't be split, because the boundaries of its tokens are not known.
    if (offset < this.attemptPosition) return { kind: 'fault', fault: 'overlap' };
    this.attemptPosition = end;
    return this.repeatedDigest === undefined ? this.takeText(data) : this.compareText(data);
  }

  private takeBytes(data: Uint8Array): ChunkVerdict {
    this.attemptPosition += data.length;
    this.sentCount = this.attemptPosition;
    return { kind: 'pass', count: data.length, data };
  }

  private takeText(data: string): ChunkVerdict {
    const count = Math.max(0, this.attemptPosition - this.sentCount);
    this.sentCount = this.attemptPosition;
    this.sentDigest.addText(data);
    return { kind: 'pass', count, data };
  }

  private compareText(data: string): ChunkVerdict {
    const repeatedDigest = this.repeatedDigest as TextDigest;
    const missing = this.sentDigest.length - repeatedDigest.length;
    repeatedDigest.addText(data.slice(0, missing));
    if (repeatedDigest.length < this.sentDigest.length) return SKIP;
    if (!repeatedDigest.matches(this.sentDigest)) return { kind: 'fault', fault: 'diverged' };
    this.repeatedDigest = undefined;
    if (data.length > missing) return this.takeText(data.slice(missing));
    this.sentCount = this.attemptPosition;
    return SKIP;
  }
}
