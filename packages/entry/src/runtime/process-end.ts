import process from 'node:process';
import { logEvents } from '@savorywind/model';
import { describeError, type ErrorDescription } from '../observe/describe-error.js';
import { openOutput } from '../observe/open-output.js';
import { writeInTime } from '../observe/write-in-time.js';

/** Why a process ends by itself. */
export type EndCause =
  /** An exception that no owner of the work has caught. */
  | 'exception'
  /** The same, of a promise. */
  | 'rejection'
  /** The program can't be loaded. */
  | 'notLoaded'
  | 'settingsInvalid'
  /** An address that the process must serve can't be opened. */
  | 'startFailed';

/** Exit codes by cause. Codes of 128 and more are those of signals. */
const EXIT_CODES: Readonly<Record<EndCause, number>> = {
  startFailed: 1,
  settingsInvalid: 2,
  exception: 70,
  rejection: 70,
  notLoaded: 71,
};

/** Longest time for the last line, if the log reader hangs, in milliseconds. */
const WRITE_MS = 200;

/** The end of a process by itself: its last line in the log, and its exit code. */
export class ProcessEnd {
  private vm = '';

  private flushLog: (() => void) | undefined;

  /** Ends the process at any exception and rejection from now on that no owner has caught. */
  watch(): void {
    process.on('uncaughtException', (error: unknown, origin) => {
      this.end(origin === 'unhandledRejection' ? 'rejection' : 'exception', error);
    });
  }

  /**
   * Names the entry VM whose process this is, and its log.
   *
   * @param flushLog writes the buffered log lines before it returns
   */
  attach(vm: string, flushLog: () => void): void {
    this.vm = vm;
    this.flushLog = flushLog;
  }

  /** Writes the cause as the last line of the log, and its stack to standard error, and exits. */
  end(cause: EndCause, error: unknown): never {
    try {
      this.flushLog?.();
      const description = describeError(error);
      writeInTime(openOutput(1), this.formatLine(cause, description), WRITE_MS);
      const text = description.stack ?? description.detail;
      writeInTime(openOutput(2), `${cause}: ${text}\n`, WRITE_MS);
    } finally {
      process.exit(EXIT_CODES[cause]);
    }
  }

  /** The same form as all other lines of the log. */
  private formatLine(cause: EndCause, description: ErrorDescription): string {
    const { number, name, message, level } = logEvents.processFailed;
    const line = {
      time: new Date(),
      level: level.toUpperCase(),
      vm: this.vm,
      event: number,
      name,
      message,
      cause,
      exitCode: EXIT_CODES[cause],
      uptimeMs: Math.round(performance.now()),
      ...description,
    };
    return `${JSON.stringify(line)}\n`;
  }
}
