/** The parser accepts no other end of a head. */
const HEAD_END = Buffer.from('\r\n\r\n');

/** Part of the end that may have arrived without the rest, in bytes. */
const MAX_TAIL_BYTES = HEAD_END.length - 1;

/**
 * Sizes of chunks and trailers after which a part of a message ends. The parser needs about a microsecond for
 * each, whatever its size.
 */
const MAX_PART_LINES = 256;

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const HEXADECIMAL = 16;
const LINE_END_BYTES = 2;

/** Length of a body in bytes; `chunked` if it is sent in chunks. */
export type BodyLength = number | 'chunked';

type Part = 'head' | 'body' | 'chunkSize' | 'chunk' | 'trailers';

/** How far a part of a message was read. */
interface Progress {
  /** Offset of the first byte that was not read. */
  readonly next: number;
  /** Whether the head or the message ends before `next`. */
  readonly isAtEnd: boolean;
}

/**
 * Finds where heads and messages end in the bytes of a connection, so that a parser can be given one
 * message at a time. It interprets nothing else: the parser decides what the bytes mean, and a wrong guess
 * only divides them at another place.
 */
export class MessageEndFinder {
  private part: Part = 'head';

  /** Bytes of the body or the chunk that were not read yet. */
  private bytesLeft = 0;

  /** The last bytes of a head that is not complete: its end may have arrived in part. */
  private headTail = '';

  private chunkBytes = 0;

  /** Whether the digits of the size of a chunk have ended: extensions may follow. */
  private hasChunkBytes = false;

  /** Sizes of chunks and trailers since the last end. */
  private lines = 0;

  /** Characters of the trailer that is being read. */
  private trailerCharacters = 0;

  /** Bytes of the trailers of the message. */
  private bytesOfTrailers = 0;

  private isAtEnd = false;

  private readonly readers: Readonly<Record<Part, (bytes: Buffer, start: number) => Progress>> = {
    head: (bytes, start) => this.readHead(bytes, start),
    body: (bytes, start) => this.readBody(bytes, start),
    chunkSize: (bytes, start) => this.readChunkSize(bytes, start),
    chunk: (bytes, start) => this.readChunk(bytes, start),
    trailers: (bytes, start) => this.readTrailers(bytes, start),
  };

  /** Whether the next byte belongs to a head. */
  get isInHead(): boolean {
    return this.part === 'head';
  }

  /** Whether what was counted last ends with a head or a message. */
  get hasFoundEnd(): boolean {
    return this.isAtEnd;
  }

  /** Bytes of the trailers that have arrived of the last message. */
  get trailerBytes(): number {
    return this.bytesOfTrailers;
  }

  /** Goes on with the body of the message whose head was read. */
  startBody(length: BodyLength): void {
    this.part = length === 'chunked' ? 'chunkSize' : 'body';
    this.bytesLeft = length === 'chunked' ? 0 : length;
    this.bytesOfTrailers = 0;
    if (length === 0) this.part = 'head';
  }

  /** Whether the body of a message is being read that says its length, so that it costs next to nothing. */
  get isInBody(): boolean {
    return this.part === 'body';
  }

  /**
   * Counts the bytes up to the next end of a head or of a message; all if neither is among them. Many small chunks
   * and trailers are counted in parts.
   */
  countToEnd(bytes: Buffer): number {
    this.lines = 0;
    let progress: Progress = { next: 0, isAtEnd: false };
    while (!progress.isAtEnd && progress.next < bytes.length && this.lines < MAX_PART_LINES) {
      progress = this.readers[this.part](bytes, progress.next);
    }
    this.isAtEnd = progress.isAtEnd;
    return progress.next;
  }

  private readHead(bytes: Buffer, start: number): Progress {
    const dividedEnd = this.headTail === '' ? undefined : this.findDividedEnd(bytes, start);
    const foundAt = dividedEnd === undefined ? bytes.indexOf(HEAD_END, start) : -1;
    const next = foundAt === -1 ? dividedEnd : foundAt + HEAD_END.length;
    if (next !== undefined) {
      this.headTail = '';
      return { next, isAtEnd: true };
    }
    const tailStart = Math.max(start, bytes.length - MAX_TAIL_BYTES);
    this.headTail = (this.headTail + bytes.toString('latin1', tailStart)).slice(-MAX_TAIL_BYTES);
    return { next: bytes.length, isAtEnd: false };
  }

  /** Finds the offset behind an end of which a part has arrived before. */
  private findDividedEnd(bytes: Buffer, start: number): number | undefined {
    const joined = this.headTail + bytes.toString('latin1', start, start + MAX_TAIL_BYTES);
    const foundAt = joined.indexOf(HEAD_END.toString());
    return foundAt === -1 ? undefined : start + foundAt + HEAD_END.length - this.headTail.length;
  }

  private readBody(bytes: Buffer, start: number): Progress {
    const next = this.skip(bytes, start);
    const isAtEnd = this.bytesLeft === 0;
    if (isAtEnd) this.part = 'head';
    return { next, isAtEnd };
  }

  private readChunkSize(bytes: Buffer, start: number): Progress {
    const newline = bytes.indexOf(NEWLINE, start);
    const end = newline === -1 ? bytes.length : newline;
    for (let next = start; next < end && !this.hasChunkBytes; next += 1) {
      const digit = Number.parseInt(String.fromCharCode(bytes[next]!), HEXADECIMAL);
      this.hasChunkBytes = Number.isNaN(digit);
      if (!this.hasChunkBytes) this.chunkBytes = this.chunkBytes * HEXADECIMAL + digit;
    }
    if (newline === -1) return { next: end, isAtEnd: false };
    this.lines += 1;
    this.part = this.chunkBytes > 0 ? 'chunk' : 'trailers';
    this.bytesLeft = this.chunkBytes + LINE_END_BYTES;
    this.chunkBytes = 0;
    this.hasChunkBytes = false;
    return { next: end + 1, isAtEnd: false };
  }

  private readChunk(bytes: Buffer, start: number): Progress {
    const next = this.skip(bytes, start);
    if (this.bytesLeft === 0) this.part = 'chunkSize';
    return { next, isAtEnd: false };
  }

  private readTrailers(bytes: Buffer, start: number): Progress {
    let next = start;
    while (next < bytes.length && bytes[next] !== NEWLINE) {
      if (bytes[next] !== CARRIAGE_RETURN) this.trailerCharacters += 1;
      next += 1;
    }
    this.bytesOfTrailers += next - start;
    if (next === bytes.length) return { next, isAtEnd: false };
    this.lines += 1;
    const isAtEnd = this.trailerCharacters === 0;
    if (isAtEnd) this.part = 'head';
    this.trailerCharacters = 0;
    return { next: next + 1, isAtEnd };
  }

  /** Skips bytes of the body or the chunk, and returns the offset behind them. */
  private skip(bytes: Buffer, start: number): number {
    const count = Math.min(this.bytesLeft, bytes.length - start);
    this.bytesLeft -= count;
    return start + count;
  }
}
