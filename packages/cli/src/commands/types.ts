import type { Result } from '@savorywind/model';
import type { CommandFailure } from '../client/entry-client.js';
import type { ExitCode } from '../exit-codes.js';

/** Output of a command: `json` is printed with --json, `lines` without it. */
export interface CommandReport {
  readonly json: object;
  readonly lines: readonly string[];
  readonly exitCode?: ExitCode;
}

/** Output of a command, or why it failed. */
export type CommandResult = Result<CommandReport, CommandFailure>;
