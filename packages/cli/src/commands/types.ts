import type { Result } from '@savorywind/model';
import type { CommandFailure } from '../client/entry-client.js';
import type { ExitCode } from '../exit-codes.js';

/** What a command prints: an object with --json, lines without. */
export interface CommandReport {
  readonly json: object;
  readonly lines: readonly string[];
  readonly exitCode?: ExitCode;
}

export type CommandResult = Result<CommandReport, CommandFailure>;
