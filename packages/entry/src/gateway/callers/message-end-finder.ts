/** A longer line can't be the empty line or the chunk size that is looked for, in characters. */
const MAX_LINE_CHARACTERS = 32;

const NEWLINE = 0x0a;
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

  /** Start of the line that is being read. */
  private line = '';

  /** Whether the head has begun: empty lines before it are no end. */
  private isInHead = false;

  private readonly readers: Readonly<Record<Part, (bytes: Buffer, start: number) => Progress>> = {
    head: (bytes, start) => this.readHead(bytes, start),
    body: (bytes, start) => this.readBody(bytes, start),
    chunkSize: (bytes, start) => this.readChunkSize(bytes, start),
    chunk: (bytes, start) => this.readChunk(bytes, start),
    trailers: (bytes, start) => this.readTrailers(bytes, start),
  };

  /** Goes on with the body of the message whose head was read. */
  startBody(length: BodyLength): void {
    this.part = length === 'chunked' ? 'chunkSize' : 'body';
    this.bytesLeft = length === 'chunked' ? 0 : length;
    if (length === 0) this.part = 'head';
  }

  /** Counts the bytes up to the next end of a head or of a message; all if neither is among them. */
  countToEnd(bytes: Buffer): number {
    let progress: Progress = { next: 0, isAtEnd: false };
    while (!progress.isAtEnd && progress.next < bytes.length) {
      progress = this.readers[this.part](bytes, progress.next);
    }
    return progress.next;
  }

  private readHead(bytes: Buffer, start: number): Progress {
    const { line, next } = this.takeLine(bytes, start);
    const isAtEnd = line === '' && this.isInHead;
    if (line !== undefined) this.isInHead = !isAtEnd && (this.isInHead || line !== '');
    return { next, isAtEnd };
  }

  private readBody(bytes: Buffer, start: number): Progress {
    const next = this.skip(bytes, start);
    const isAtEnd = this.bytesLeft === 0;
    if (isAtEnd) this.part = 'head';
    return { next, isAtEnd };
  }

  private readChunkSize(bytes: Buffer, start: number): Progress {
    const { line, next } = this.takeLine(bytes, start);
    if (line === undefined) return { next, isAtEnd: false };
    const size = Number.parseInt(line, HEXADECIMAL);
    this.part = size > 0 ? 'chunk' : 'trailers';
    this.bytesLeft = size > 0 ? size + LINE_END_BYTES : 0;
    return { next, isAtEnd: false };
  }

  private readChunk(bytes: Buffer, start: number): Progress {
    const next = this.skip(bytes, start);
    if (this.bytesLeft === 0) this.part = 'chunkSize';
    return { next, isAtEnd: false };
  }

  private readTrailers(bytes: Buffer, start: number): Progress {
    const { line, next } = this.takeLine(bytes, start);
    const isAtEnd = line === '';
    if (isAtEnd) this.part = 'head';
    return { next, isAtEnd };
  }

  /** Skips bytes of the body or the chunk, and returns the offset behind them. */
  private skip(bytes: Buffer, start: number): number {
    const count = Math.min(this.bytesLeft, bytes.length - start);
    this.bytesLeft -= count;
    return start + count;
  }

  /** Reads to the end of the line; `line` is undefined if the end has not arrived. */
  private takeLine(
    bytes: Buffer,
    start: number,
  ): { readonly line: string | undefined; readonly next: number } {
    const newlineAt = bytes.indexOf(NEWLINE, start);
    const end = newlineAt === -1 ? bytes.length : newlineAt;
    const keptEnd = Math.min(end, start + MAX_LINE_CHARACTERS - this.line.length);
    this.line += bytes.toString('latin1', start, keptEnd);
    if (newlineAt === -1) return { line: undefined, next: bytes.length };
    const line = this.line.replace(/\r$/, '');
    this.line = '';
    return { line, next: newlineAt + 1 };
  }
}
