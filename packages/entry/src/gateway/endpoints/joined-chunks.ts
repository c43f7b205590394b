import { GrowingBuffer } from './growing-buffer.js';

/**
 * Joins the chunks of one moment. A chunk that is alone is passed on as it is, without a copy; several are copied
 * into one buffer.
 *
 * @example
 * const joined = new JoinedChunks();
 * joined.append(Buffer.from('a'));
 * joined.take(); // the same buffer; `joined` is empty again
 */
export class JoinedChunks {
  /** The only chunk so far. */
  private single: Buffer | undefined;

  private readonly several = new GrowingBuffer();

  get length(): number {
    return this.single?.length ?? this.several.length;
  }

  /** Memory that is taken for the chunks, in bytes. */
  get capacity(): number {
    return this.single?.length ?? this.several.capacity;
  }

  append(chunk: Buffer): void {
    if (this.single === undefined && this.several.length === 0) {
      this.single = chunk;
      return;
    }
    if (this.single !== undefined) {
      this.several.append(this.single);
      this.single = undefined;
    }
    this.several.append(chunk);
  }

  /** Returns the bytes so far and begins anew. */
  take(): Buffer {
    const { single } = this;
    if (single === undefined) return this.several.take();
    this.single = undefined;
    return single;
  }
}
