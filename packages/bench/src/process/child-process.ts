import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** A process started by a demo, a test or an experiment, which has to stop it. */
export interface StartedProcess {
  readonly child: ChildProcess;
  readonly port: number;
  /** Resolves with the exit code, or undefined if a signal terminated the process. */
  readonly exited: Promise<number | undefined>;
}

const STAND_IN_MAIN = fileURLToPath(import.meta.resolve('@savorywind/stand-ins')).replace(
  /index\.js$/,
  'main.js',
);
const ENTRY_MAIN = fileURLToPath(import.meta.resolve('@savorywind/entry')).replace(
  /index\.js$/,
  'main.js',
);

const CLI_MAIN = fileURLToPath(import.meta.resolve('savorywind')).replace(/index\.js$/, 'main.js');

/** Time within which a process must listen on its port. */
const START_TIMEOUT_MS = 20_000;

const waitForPort = (child: ChildProcess): Promise<number> =>
  new Promise((resolve, reject) => {
    if (child.stdout === null) return;
    const timer = setTimeout(
      () => reject(new Error('process did not listen on a port in time')),
      START_TIMEOUT_MS,
    );
    const lines = createInterface({ input: child.stdout });
    lines.on('line', (line) => {
      if (!line.startsWith('{')) return;
      const { port } = JSON.parse(line) as { port?: number };
      if (port === undefined) return;
      clearTimeout(timer);
      lines.close();
      child.stdout?.resume();
      resolve(port);
    });
    child.on('exit', (code) =>
      reject(new Error(`process exited with code ${code} before it listened on a port`)),
    );
  });

/** Starts a Node.js program and waits for the JSON line with its port, written once it listens. */
export const startNodeProgram = async (
  main: string,
  args: readonly string[],
): Promise<StartedProcess> => {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  const exited = new Promise<number | undefined>((resolve) => {
    child.on('exit', (code) => resolve(code ?? undefined));
  });
  const port = await waitForPort(child);
  return { child, port, exited };
};

/** Starts a stand-in as a separate process. */
export const startStandIn = (role: string, settings: object): Promise<StartedProcess> =>
  startNodeProgram(STAND_IN_MAIN, ['--role', role, '--settings', JSON.stringify(settings)]);

/**
 * Starts an entry VM with settings from a file.
 *
 * @param main main file of the entry VM program; that of this build by default
 */
export const startEntry = (
  settingsFile: string,
  main: string = ENTRY_MAIN,
): Promise<StartedProcess> => startNodeProgram(main, ['--settings', settingsFile]);

/** Result of one run of the operators' command-line program; `output` is stdout and stderr. */
export interface CommandResult {
  readonly exitCode: number | null;
  readonly output: string;
}

/**
 * Runs the operators' command-line program until it exits.
 *
 * @param main main file of the program; that of this build by default
 */
export const runOperatorCommand = (
  args: readonly string[],
  env: Readonly<Record<string, string>>,
  main: string = CLI_MAIN,
): Promise<CommandResult> =>
  new Promise((resolve) => {
    const options = { env: { ...process.env, ...env } };
    execFile(process.execPath, [main, ...args], options, (error, stdout, stderr) => {
      const exitCode = typeof error?.code === 'number' ? error.code : Number(error !== null);
      resolve({ exitCode, output: `${stdout}${stderr}`.trim() });
    });
  });
