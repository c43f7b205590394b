/** What the command reads and writes; tests put their own in its place. */
export interface CommandIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  writeOut(line: string): void;
  writeErr(line: string): void;
  wait(ms: number): Promise<void>;
  /** Milliseconds on a clock that never falls. */
  readNowMs(): number;
}

/** Options that every command takes. */
export interface CommonOptions {
  readonly json: boolean;
}

/** Options of the commands that talk to entry VMs. */
export interface RemoteOptions extends CommonOptions {
  readonly entry: readonly string[] | undefined;
  readonly credentialFile: string | undefined;
}
