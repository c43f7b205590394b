const NO_BYTES = Buffer.alloc(0);

/** Smallest memory that is reserved at once, in bytes. */
const MIN_CAPACITY = 1_024;

/**
 * Collects bytes that arrive in chunks. The bytes are copied: a chunk may be a small part of a much
 * larger block of memory, and thousands of chunks of one byte would take a hundred times their size.
 *
 * @example
 * const collected = new GrowingBuffer();
 * collected.append(Buffer.from('a'));
 * collected.take(); // the bytes so far; `collected` is empty again
 */
export class GrowingBuffer {
  private storage: Buffer = NO_BYTES;

  private usedBytes = 0;

  get length(): number {
    return this.usedBytes;
  }

  /** Memory that is taken for the bytes, in bytes. */
  get capacity(): number {
    return this.storage.length;
  }

  /** The bytes so far. They are valid until the next call of `append`. */
  get bytes(): Buffer {
    return this.storage.subarray(0, this.usedBytes);
  }

  append(chunk: Uint8Array): void {
    const neededBytes = this.usedBytes + chunk.length;
    if (neededBytes > this.storage.length) this.grow(neededBytes);
    this.storage.set(chunk, this.usedBytes);
    this.usedBytes = neededBytes;
  }

  /** Returns the bytes so far and begins anew. */
  take(): Buffer {
    const { bytes } = this;
    this.storage = NO_BYTES;
    this.usedBytes = 0;
    return bytes;
  }

  /** Doubles the memory, so that each byte is copied about once more on average. */
  private grow(neededBytes: number): void {
    const capacity = Math.max(MIN_CAPACITY, 2 * this.storage.length, neededBytes);
    const grown = Buffer.allocUnsafeSlow(capacity);
    grown.set(this.bytes, 0);
    this.storage = grown;
  }
}
