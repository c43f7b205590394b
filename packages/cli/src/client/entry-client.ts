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
  type EntryResponse,
  type EntryCall,
  type CallFailure,
} from './call-entry-vm.js';

/** Why a command failed: message and hint for the operator, and the exit code. */
export interface CommandFailure {
  readonly exitCode: ExitCode;
  readonly code?: number;
  readonly message: string;
  readonly hint: string;
  /** Whether the change was committed; `unknown` if this could not be determined. */
  readonly committed?: 'no' | 'unknown';
  /** Configuration version in force, if it is known. */
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

/** Body of a call that commits a configuration. */
export interface ConfigurationChange {
  readonly changeId: string;
  readonly baseVersion: number;
  readonly configuration: Configuration;
}

/** Result codes after which another entry VM may still commit the change. */
const RETRYABLE_CODES: ReadonlySet<number> = new Set([
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

const createRefusalFailure = ({ body }: EntryResponse): CommandFailure => {
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

const isSuccess = ({ status }: EntryResponse): boolean => status >= 200 && status < 300;

/** Client of the operator API that fails over between several entry VMs. */
export class EntryClient {
  constructor(
    readonly entryUrls: readonly URL[],
    private readonly credential: string,
  ) {}

  /** Sends a read-only call to one entry VM after another until one succeeds. */
  async read<T>(path: string): Promise<Result<T, CommandFailure>> {
    let failure = NO_ENTRY_VM;
    for (const entry of this.entryUrls) {
      const response = await this.call(entry, { method: 'GET', path });
      if (response.ok && isSuccess(response.val)) return Ok(response.val.body as T);
      if (response.ok) failure = createRefusalFailure(response.val);
    }
    return Err(failure);
  }

  readHead(): Promise<Result<{ readonly head: ConfigurationHead | null }, CommandFailure>> {
    return this.read('/v1/configuration');
  }

  /** Reads the status of all entry VMs and leaves out those that do not return one. */
  async listStatuses(): Promise<NodeStatus[]> {
    const responses = await Promise.all(
      this.entryUrls.map((entry) => this.call(entry, { method: 'GET', path: '/v1/status' })),
    );
    return responses.flatMap((response) =>
      response.ok && isSuccess(response.val) ? [response.val.body as NodeStatus] : [],
    );
  }

  /**
   * Commits a change. If an entry VM is unreachable, its response is lost or its refusal is
   * retryable, the same change id is sent to the next one, which detects whether the change has
   * already been committed. Each entry VM is called at most twice.
   */
  async commit(
    change: ConfigurationChange,
  ): Promise<Result<{ readonly version: number }, CommandFailure>> {
    let failure = NO_ENTRY_VM;
    let mayBeCommitted = false;
    for (const entry of [...this.entryUrls, ...this.entryUrls]) {
      const response = await this.call(entry, {
        method: 'POST',
        path: '/v1/changes',
        body: change,
      });
      if (response.err) {
        mayBeCommitted ||= response.val === 'unanswered';
        continue;
      }
      if (isSuccess(response.val)) return Ok(response.val.body as { readonly version: number });
      failure = createRefusalFailure(response.val);
      if (!RETRYABLE_CODES.has(failure.code ?? 0)) return Err(failure);
      mayBeCommitted ||= failure.committed === 'unknown';
    }
    return Err(mayBeCommitted ? OUTCOME_UNKNOWN : failure);
  }

  async drain(entry: URL): Promise<Result<unknown, CommandFailure>> {
    const response = await this.call(entry, { method: 'POST', path: '/v1/drain' });
    if (response.err) return Err(NO_ENTRY_VM);
    return isSuccess(response.val)
      ? Ok(response.val.body)
      : Err(createRefusalFailure(response.val));
  }

  private call(entry: URL, call: EntryCall): Promise<Result<EntryResponse, CallFailure>> {
    return callEntryVm(entry, this.credential, call);
  }
}

const createUsageFailure = (message: string, hint: string): Result<EntryClient, CommandFailure> =>
  Err({ exitCode: exitCodes.usage, message, hint });

const readCredential = ({ env }: CommandIo, file: string | undefined): string | undefined => {
  if (file === undefined) return env.SAVORYWIND_CREDENTIAL;
  return readFileSync(file, 'utf8').trim();
};

/** Creates a client from the command's options and the environment. */
export const createEntryClient = (
  io: CommandIo,
  { entry, credentialFile }: RemoteOptions,
): Result<EntryClient, CommandFailure> => {
  const addresses = entry ?? io.env.SAVORYWIND_ENTRY?.split(',') ?? [];
  if (addresses.length === 0) {
    return createUsageFailure(
      'No entry VM is named.',
      'Use --entry http://HOST:PORT, or set SAVORYWIND_ENTRY.',
    );
  }
  const invalid = addresses.find((address) => !URL.canParse(address));
  if (invalid !== undefined) {
    return createUsageFailure(`"${invalid}" is not an address.`, 'Write it as http://HOST:PORT.');
  }
  try {
    const credential = readCredential(io, credentialFile);
    if (credential !== undefined) {
      return Ok(
        new EntryClient(
          addresses.map((address) => new URL(address)),
          credential,
        ),
      );
    }
    return createUsageFailure(
      'No credential is given.',
      'Use --credential-file, or set SAVORYWIND_CREDENTIAL.',
    );
  } catch (error) {
    return createUsageFailure((error as Error).message, 'Name a file that holds the credential.');
  }
};
