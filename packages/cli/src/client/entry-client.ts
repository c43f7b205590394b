import { readFileSync } from 'node:fs';
import type { NodeStatus } from '@savorywind/decisions';
import {
  Err,
  Ok,
  resultCodes,
  type Configuration,
  type ConfigurationHead,
  type Result,
} from '@savorywind/model';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import type { CommandIo, RemoteOptions } from '../types.js';
import {
  callEntryVm,
  type EntryAnswer,
  type Exchange,
  type ExchangeFailure,
} from './call-entry-vm.js';

/** Why a command failed: what the operator reads, and the exit code. */
export interface CommandFailure {
  readonly exitCode: ExitCode;
  readonly code?: number;
  readonly message: string;
  readonly hint: string;
  readonly committed?: 'no' | 'unknown';
  readonly version?: number;
}

interface RefusalBody {
  readonly error: {
    readonly code: number;
    readonly message: string;
    readonly hint: string;
    readonly committed?: 'no' | 'unknown';
    readonly version?: number;
    readonly faults?: readonly { readonly path: string; readonly message: string }[];
  };
}

export interface ChangeCall {
  readonly changeId: string;
  readonly baseVersion: number;
  readonly configuration: Configuration;
}

const CODES_THAT_ANOTHER_MAY_SETTLE: ReadonlySet<number> = new Set([
  resultCodes.platformUnavailable.code,
  resultCodes.changeNotCommitted.code,
  resultCodes.tooManyChanges.code,
  resultCodes.draining.code,
]);

const EXIT_BY_CODE: ReadonlyMap<number, ExitCode> = new Map([
  [resultCodes.serializationFailure.code, exitCodes.serializationFailure],
  [resultCodes.invalidConfiguration.code, exitCodes.invalidDeclarations],
  [resultCodes.platformUnavailable.code, exitCodes.outcomeUnknown],
  [resultCodes.changeNotCommitted.code, exitCodes.notCommitted],
  [resultCodes.tooManyChanges.code, exitCodes.notCommitted],
  [resultCodes.draining.code, exitCodes.notCommitted],
]);

const NO_ENTRY_VM: CommandFailure = {
  exitCode: exitCodes.noEntryVm,
  message: 'No entry VM answered.',
  hint: 'Name others with --entry, or see docs/operators/platform-down.md.',
};

const OUTCOME_UNKNOWN: CommandFailure = {
  exitCode: exitCodes.outcomeUnknown,
  committed: 'unknown',
  message: 'The answer was lost; the change may or may not be committed.',
  hint: 'Run the same command again with the same --change-id and --base: it commits once at most.',
};

const describeRefusal = ({ body }: EntryAnswer): CommandFailure => {
  const { error } = body as RefusalBody;
  const { code, message, hint, committed, version, faults = [] } = error;
  const details = faults.map((fault) => `\n  ${fault.path}: ${fault.message}`).join('');
  return {
    exitCode: EXIT_BY_CODE.get(code) ?? exitCodes.refused,
    code,
    message: `${message}${details}`,
    hint,
    ...(committed === undefined ? {} : { committed }),
    ...(version === undefined ? {} : { version }),
  };
};

const isAnswered = ({ status }: EntryAnswer): boolean => status >= 200 && status < 300;

/** Calls entry VMs, one after another until one answers. */
export class EntryClient {
  constructor(
    readonly entries: readonly URL[],
    private readonly credential: string,
  ) {}

  /** Asks for something that changes nothing; the first entry VM that answers settles it. */
  async read<T>(path: string): Promise<Result<T, CommandFailure>> {
    let failure = NO_ENTRY_VM;
    for (const entry of this.entries) {
      const answer = await this.call(entry, { method: 'GET', path });
      if (answer.ok && isAnswered(answer.val)) return Ok(answer.val.body as T);
      if (answer.ok) failure = describeRefusal(answer.val);
    }
    return Err(failure);
  }

  readHead(): Promise<Result<{ readonly head: ConfigurationHead | null }, CommandFailure>> {
    return this.read('/v1/configuration');
  }

  /** The status of every entry VM that answers. */
  async listStatuses(): Promise<NodeStatus[]> {
    const answers = await Promise.all(
      this.entries.map((entry) => this.call(entry, { method: 'GET', path: '/v1/status' })),
    );
    return answers.flatMap((answer) =>
      answer.ok && isAnswered(answer.val) ? [answer.val.body as NodeStatus] : [],
    );
  }

  /**
   * Commits a change. Where an answer is lost, the next entry VM gets the same change id, and tells
   * whether it is committed; each is asked twice at most.
   */
  async commit(change: ChangeCall): Promise<Result<{ readonly version: number }, CommandFailure>> {
    let failure = NO_ENTRY_VM;
    let mayBeCommitted = false;
    for (const entry of [...this.entries, ...this.entries]) {
      const answer = await this.call(entry, { method: 'POST', path: '/v1/changes', body: change });
      if (answer.err) {
        mayBeCommitted ||= answer.val === 'unanswered';
        continue;
      }
      if (isAnswered(answer.val)) return Ok(answer.val.body as { readonly version: number });
      failure = describeRefusal(answer.val);
      if (!CODES_THAT_ANOTHER_MAY_SETTLE.has(failure.code ?? 0)) return Err(failure);
      mayBeCommitted ||= failure.committed === 'unknown';
    }
    return Err(mayBeCommitted ? OUTCOME_UNKNOWN : failure);
  }

  async drain(entry: URL): Promise<Result<unknown, CommandFailure>> {
    const answer = await this.call(entry, { method: 'POST', path: '/v1/drain' });
    if (answer.err) return Err(NO_ENTRY_VM);
    return isAnswered(answer.val) ? Ok(answer.val.body) : Err(describeRefusal(answer.val));
  }

  private call(entry: URL, call: Exchange): Promise<Result<EntryAnswer, ExchangeFailure>> {
    return callEntryVm(entry, this.credential, call);
  }
}

const fail = (message: string, hint: string): Result<EntryClient, CommandFailure> =>
  Err({ exitCode: exitCodes.usage, message, hint });

const readCredential = ({ env }: CommandIo, file: string | undefined): string | undefined => {
  if (file === undefined) return env.SAVORYWIND_CREDENTIAL;
  return readFileSync(file, 'utf8').trim();
};

/** Makes a client from the options and the environment. */
export const createEntryClient = (
  io: CommandIo,
  { entry, credentialFile }: RemoteOptions,
): Result<EntryClient, CommandFailure> => {
  const names = entry ?? io.env.SAVORYWIND_ENTRY?.split(',') ?? [];
  if (names.length === 0) {
    return fail('No entry VM is named.', 'Use --entry http://HOST:PORT, or set SAVORYWIND_ENTRY.');
  }
  const invalid = names.find((name) => !URL.canParse(name));
  if (invalid !== undefined) {
    return fail(`"${invalid}" is not an address.`, 'Write it as http://HOST:PORT.');
  }
  try {
    const credential = readCredential(io, credentialFile);
    if (credential !== undefined) {
      return Ok(
        new EntryClient(
          names.map((name) => new URL(name)),
          credential,
        ),
      );
    }
    return fail('No credential is given.', 'Use --credential-file, or set SAVORYWIND_CREDENTIAL.');
  } catch (fault) {
    return fail((fault as Error).message, 'Name a file that holds the credential.');
  }
};
