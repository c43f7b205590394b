import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** A process that the demo or a test started, and that it ends again. */
export interface StartedProcess {
  readonly child: ChildProcess;
  readonly port: number;
  /** Resolves with the exit code, or undefined where a signal ended the process. */
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

/** Longest time that a process may take to listen, in milliseconds. */
const START_LIMIT_MS = 20_000;

const waitForPort = (child: ChildProcess): Promise<number> =>
  new Promise((resolve, reject) => {
    if (child.stdout === null) return;
    const timer = setTimeout(() => reject(new Error('process did not listen')), START_LIMIT_MS);
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
    child.on('exit', (code) => reject(new Error(`process ended with ${code} before it listened`)));
  });

/** Starts a Node.js program that writes a JSON line with its port once it listens. */
export const startNode = async (main: string, args: readonly string[]): Promise<StartedProcess> => {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  const exited = new Promise<number | undefined>((resolve) => {
    child.on('exit', (code) => resolve(code ?? undefined));
  });
  const port = await waitForPort(child);
  return { child, port, exited };
};

/** Starts a stand-in as a process of its own. */
export const startStandIn = (role: string, settings: object): Promise<StartedProcess> =>
  startNode(STAND_IN_MAIN, ['--role', role, '--settings', JSON.stringify(settings)]);

/**
 * Starts an entry VM with settings from a file.
 *
 * @param main program of the entry VM; that of this build unless another one is given
 */
export const startEntry = (
  settingsFile: string,
  main: string = ENTRY_MAIN,
): Promise<StartedProcess> => startNode(main, ['--settings', settingsFile]);

/** What one run of the operators' command came to. */
export interface CommandRun {
  readonly exitCode: number | null;
  readonly output: string;
}

/**
 * Runs the operators' command to its end.
 *
 * @param main program of the command; that of this build unless another one is given
 */
export const runOperatorCommand = (
  args: readonly string[],
  env: Readonly<Record<string, string>>,
  main: string = CLI_MAIN,
): Promise<CommandRun> =>
  new Promise((resolve) => {
    const options = { env: { ...process.env, ...env } };
    execFile(process.execPath, [main, ...args], options, (fault, stdout, stderr) => {
      const exitCode = typeof fault?.code === 'number' ? fault.code : Number(fault !== null);
      resolve({ exitCode, output: `${stdout}${stderr}`.trim() });
    });
  });
