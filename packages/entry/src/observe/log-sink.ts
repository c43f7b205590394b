import { write } from 'node:fs';
import { openOutput } from './open-output.js';
import { waitForThreadWrite, writeInTime } from './write-in-time.js';

/** Destination of log lines. */
export interface LogSink {
  write(line: string): void;
  /** Writes the buffered lines before it returns, in the last moments of the process. */
  flush(): void;
}

/** Size of the buffer for log lines while the reader is slow, in bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 4_194_304;

/** Lines up to this size, in bytes, are written together. */
const MAX_WRITE_BYTES = 16_384;

/** Pause before a write to a full pipe is repeated, in milliseconds. */
const RETRY_MS = 20;

/** Longest time for which `flush` waits for a reader that hangs, in milliseconds. */
const FLUSH_MS = 200;

/** A log line that is not written yet, with its size in bytes. */
interface BufferedLine {
  readonly text: string;
  readonly bytes: number;
}

/** Log lines on their way to a descriptor. A reader that hangs or has left holds up nothing. */
class BufferedOutput implements LogSink {
  droppedLines = 0;

  private lines: BufferedLine[] = [];

  private bufferedBytes = 0;

  /** The part that is being written, which another thread does. */
  private writing: Buffer | undefined;

  private retryTimer: NodeJS.Timeout | undefined;

  constructor(private readonly fd: number) {}

  write(text: string): void {
    const bytes = Buffer.byteLength(text);
    if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push({ text, bytes });
    this.bufferedBytes += bytes;
    if (this.writing === undefined) this.writeNext();
  }

  flush(): void {
    const isWaiting = this.retryTimer !== undefined;
    clearTimeout(this.retryTimer);
    if (this.writing !== undefined && !isWaiting) waitForThreadWrite();
    const unwritten = isWaiting ? (this.writing?.toString() ?? '') : '';
    writeInTime(this.fd, unwritten + this.lines.map(({ text }) => text).join(''), FLUSH_MS);
    this.lines = [];
    this.bufferedBytes = 0;
  }

  private writeNext(): void {
    if (this.lines.length === 0) return;
    let bytes = 0;
    const end = this.lines.findIndex((line) => {
      bytes += line.bytes;
      return bytes >= MAX_WRITE_BYTES;
    });
    const taken = this.lines.splice(0, end < 0 ? this.lines.length : end + 1);
    this.writing = Buffer.from(taken.map(({ text }) => text).join(''));
    this.continueWrite();
  }

  private continueWrite(): void {
    const { writing } = this;
    if (writing === undefined) return;
    write(this.fd, writing, (error, writtenBytes) => {
      if (error === null) this.handleWritten(writtenBytes);
      else this.handleError(error);
    });
  }

  private handleWritten(writtenBytes: number): void {
    const rest = this.writing?.subarray(writtenBytes);
    this.bufferedBytes -= writtenBytes;
    this.writing = rest !== undefined && rest.length > 0 ? rest : undefined;
    if (this.writing === undefined) this.writeNext();
    else this.continueWrite();
  }

  private handleError({ code }: NodeJS.ErrnoException): void {
    if (code === 'EAGAIN') {
      this.retryTimer = setTimeout(() => {
        this.retryTimer = undefined;
        this.continueWrite();
      }, RETRY_MS).unref();
      return;
    }
    // The reader has closed the pipe; the lines are lost.
    this.droppedLines += this.writing?.toString().split('\n').length ?? 0;
    this.bufferedBytes -= this.writing?.length ?? 0;
    this.writing = undefined;
    this.writeNext();
  }
}

/**
 * Writes log lines to standard output without waiting for its reader, so that a log reader that hangs
 * does not block requests. Lines that do not fit into the buffer are dropped and counted.
 */
export const createStdoutSink = (): LogSink & { readonly droppedLines: number } =>
  new BufferedOutput(openOutput(1));
