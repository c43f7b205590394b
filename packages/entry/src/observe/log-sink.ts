import sonicBoom from 'sonic-boom';

// A CommonJS module: its class is a property of the default export.
const { SonicBoom } = sonicBoom;

/** Destination of log lines. */
export interface LogSink {
  write(line: string): void;
  /** Writes the buffered lines synchronously, before the process exits. */
  flush(): void;
}

const STDOUT_FD = 1;

/** Size of the buffer for log lines while the reader is slow, in bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 4_194_304;

/**
 * Writes log lines to standard output without waiting for its reader, so that a log reader that hangs
 * does not block requests. Lines that do not fit into the buffer are dropped and counted.
 */
export const createStdoutSink = (): LogSink & { readonly droppedLines: number } => {
  const output = new SonicBoom({ fd: STDOUT_FD, sync: false, maxLength: MAX_BUFFERED_BYTES });
  let droppedLines = 0;
  output.on('drop', () => {
    droppedLines += 1;
  });
  // An unhandled error event would end the process when the reader closes the pipe.
  output.on('error', () => {});
  return {
    write: (line) => {
      output.write(line);
    },
    flush: () => {
      try {
        output.flushSync();
      } catch {
        // The reader has closed the pipe; the lines are lost.
      }
    },
    get droppedLines() {
      return droppedLines;
    },
  };
};
