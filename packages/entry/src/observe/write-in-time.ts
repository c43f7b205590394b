import { writeSync } from 'node:fs';

/** Pause before a write to a full pipe is repeated, in milliseconds. */
const RETRY_MS = 10;

const sleeper = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

/** Blocks the whole process; only for its last moments. */
const waitBlocking = (ms: number): void => {
  Atomics.wait(sleeper, 0, 0, ms);
};

/**
 * Writes text to a descriptor before it returns. What the reader has not taken in time, or at all, is
 * lost: the process that ends must not wait for its reader.
 *
 * @param timeoutMs time for a reader that hangs, in milliseconds
 * @example
 * writeInTime(openOutput(1), 'the last line\n', 200);
 */
export const writeInTime = (fd: number, text: string, timeoutMs: number): void => {
  const endMs = performance.now() + timeoutMs;
  let rest = Buffer.from(text);
  while (rest.length > 0) {
    try {
      rest = rest.subarray(writeSync(fd, rest));
    } catch (error) {
      const isFull = (error as NodeJS.ErrnoException).code === 'EAGAIN';
      if (!isFull || performance.now() >= endMs) return;
      waitBlocking(RETRY_MS);
    }
  }
};

/** Lets a write that another thread has begun come first, in the order in which the two were begun. */
export const waitForThreadWrite = (): void => waitBlocking(RETRY_MS);
