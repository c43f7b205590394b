import sonicBoom from 'sonic-boom';

// A CommonJS module: its class is a property of the default export.
const { SonicBoom } = sonicBoom;

/** Where log lines go. */
export interface LogSink {
  write(line: string): void;
  /** Writes what waits before the process ends. */
  flush(): void;
}

const STDOUT_FD = 1;

/** Log lines that may wait for a slow reader, in bytes; further ones are dropped. */
const MAX_WAITING_BYTES = 4_194_304;

/**
 * Writes lines to the standard output without ever waiting for its reader: a log reader that hangs
 * must not stop requests. Lines that do not fit are dropped, and counted.
 */
export const createStdoutSink = (): LogSink & { readonly droppedLines: number } => {
  const output = new SonicBoom({ fd: STDOUT_FD, sync: false, maxLength: MAX_WAITING_BYTES });
  let droppedLines = 0;
  output.on('drop', () => {
    droppedLines += 1;
  });
  // A reader that is gone is no reason to end.
  output.on('error', () => {});
  return {
    write: (line) => {
      output.write(line);
    },
    flush: () => {
      try {
        output.flushSync();
      } catch {
        // Nobody reads any more.
      }
    },
    get droppedLines() {
      return droppedLines;
    },
  };
};
