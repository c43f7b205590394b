export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** One row of the catalogue of log events. */
export interface LogEvent {
  readonly number: number;
  readonly name: string;
  readonly level: LogLevel;
  readonly message: string;
}

/** Fields of a log line; they never contain prompts, answers or credentials. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
