export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** One row of the catalogue of log events. */
export interface LogEvent {
  readonly number: number;
  readonly name: string;
  readonly level: LogLevel;
  readonly message: string;
}

/** Values that a log line may carry; never a prompt, an answer or a credential. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
