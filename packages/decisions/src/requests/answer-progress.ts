import type { ChunkData } from '../seam/types.js';
import { TextDigest } from './text-digest.js';

/** Why a chunk can't be part of the answer. */
export type ChunkFault = 'gap' | 'overlap' | 'diverged';

export type ChunkVerdict =
  | { readonly kind: 'pass'; readonly count: number; readonly data: ChunkData }
  /** The caller has it already. */
  | { readonly kind: 'skip' }
  | { readonly kind: 'fault'; readonly fault: ChunkFault };

const SKIP: ChunkVerdict = { kind: 'skip' };

/**
 * How much of an answer the caller has, over all attempts. Cuts away what comes twice, and compares
 * an answer that is generated again with the digest of what was sent.
 *
 * @example
 * const answer = new AnswerProgress();
 * answer.acceptChunk(0, 1, 'a'); // { kind: 'pass', count: 1, data: 'a' }
 * answer.acceptChunk(0, 1, 'a'); // { kind: 'skip' }
 * answer.isWhole(1); // true
 */
export class AnswerProgress {
  /** Tokens or bytes that the caller has. */
  sentCount = 0;

  /** Tokens or bytes that the attempt in hand has given from the answer's start on. */
  private position = 0;

  private readonly sent = new TextDigest();

  /** Text generated again, until it is as long as what was sent. */
  private repeated: TextDigest | undefined;

  /** The next attempt gives the answer from its start. */
  restart(): void {
    this.position = 0;
    this.repeated = this.sent.length > 0 ? new TextDigest() : undefined;
  }

  /** The next attempt gives the answer from where the caller's part ends. */
  resume(): void {
    this.position = this.sentCount;
    this.repeated = undefined;
  }

  /** Whether an answer of this size has reached the caller in full. */
  isWhole(total: number): boolean {
    return this.repeated === undefined && total === this.sentCount;
  }

  /** Whether an attempt that gives the answer again has not caught up with the caller yet. */
  get isRepeating(): boolean {
    return this.repeated !== undefined;
  }

  acceptChunk(offset: number, count: number, data: ChunkData): ChunkVerdict {
    const end = offset + count;
    if (end <= this.position) return SKIP;
    if (offset > this.position) return { kind: 'fault', fault: 'gap' };
    if (typeof data !== 'string') return this.passBytes(data.subarray(this.position - offset));
    // Text has no position for each token, so that a part of a chunk can't be cut off.
    if (offset < this.position) return { kind: 'fault', fault: 'overlap' };
    this.position = end;
    return this.repeated === undefined ? this.passText(data) : this.compareText(data);
  }

  private passBytes(data: Uint8Array): ChunkVerdict {
    this.position += data.length;
    this.sentCount = this.position;
    return { kind: 'pass', count: data.length, data };
  }

  private passText(data: string): ChunkVerdict {
    const count = Math.max(0, this.position - this.sentCount);
    this.sentCount = this.position;
    this.sent.addText(data);
    return { kind: 'pass', count, data };
  }

  private compareText(data: string): ChunkVerdict {
    const repeated = this.repeated as TextDigest;
    const missing = this.sent.length - repeated.length;
    repeated.addText(data.slice(0, missing));
    if (repeated.length < this.sent.length) return SKIP;
    if (!repeated.matches(this.sent)) return { kind: 'fault', fault: 'diverged' };
    this.repeated = undefined;
    if (data.length > missing) return this.passText(data.slice(missing));
    this.sentCount = this.position;
    return SKIP;
  }
}
