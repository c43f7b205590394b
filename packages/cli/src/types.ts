/** Environment, output and clock of the command; tests replace them. */
export interface CommandIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  writeOut(line: string): void;
  writeErr(line: string): void;
  wait(ms: number): Promise<void>;
  /** Current time of a monotonic clock, in milliseconds. */
  readNowMs(): number;
}

/** Options of all commands. */
export interface CommonOptions {
  readonly json: boolean;
}

/** Options of the commands that call entry VMs. */
export interface RemoteOptions extends CommonOptions {
  readonly entry: readonly string[] | undefined;
  readonly credentialFile: string | undefined;
}
