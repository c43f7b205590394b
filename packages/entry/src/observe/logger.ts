import { Logger } from 'tslog';
import type { LogEvent, LogFields, LogLevel } from '@savorywind/model';
import { copyLogFields } from './copy-log-fields.js';
import type { LogSink } from './log-sink.js';

const TSLOG_LEVEL: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Logs events of the catalogue in `@savorywind/model`. */
export interface EventLogger {
  write(event: LogEvent, fields: LogFields): void;
}

/**
 * Creates a logger that writes each event as one line of JSON. Long texts are cut off, and fields that can't
 * be written are left out: a log call throws nothing.
 *
 * @param vm name of the entry VM, part of each line
 * @param level events below this level are not logged
 */
export const createEventLogger = (vm: string, level: LogLevel, sink: LogSink): EventLogger => {
  const logger = new Logger<object>({
    type: 'json',
    minLevel: TSLOG_LEVEL[level],
    hideLogPositionForProduction: true,
    name: vm,
    overwrite: {
      transportJSON: (line) => {
        const { _meta: meta, ...fields } = line as { _meta: { date: Date; logLevelName: string } };
        const { date, logLevelName } = meta;
        sink.write(`${JSON.stringify({ time: date, level: logLevelName, vm, ...fields })}\n`);
      },
    },
  });
  return {
    write: (event, fields) => {
      const { number, name, message } = event;
      try {
        logger[event.level]({ event: number, name, message, ...copyLogFields(fields) });
      } catch {
        // A line without its fields shows that they could not be written.
        logger[event.level]({ event: number, name, message, isIncomplete: true });
      }
    },
  };
};
