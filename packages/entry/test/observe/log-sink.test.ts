import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const SINK = fileURLToPath(new URL('../../dist/observe/log-sink.js', import.meta.url));
const LINES = 200_000;
const LINE_BYTES = 200;

/** Size of the sink's buffer, plus what a pipe and one write in progress hold. */
const MAX_BYTES = 4_194_304 + 262_144;

/** Time within which a process must end, in milliseconds; before it is killed it gets 8 s. */
const END_MS = 4_000;

const PRELUDE = `
  import { createStdoutSink } from ${JSON.stringify(SINK)};
  const sink = createStdoutSink();
`;

/** Logs far more than fits into the buffer and reports the dropped lines to the parent process. */
const SCRIPT = `${PRELUDE}
  const line = 'x'.repeat(${LINE_BYTES - 1}) + '\\n';
  for (let count = 0; count < ${LINES}; count += 1) sink.write(line);
  process.send({ droppedLines: sink.droppedLines }, () => process.exit());
`;

/** Writes lines when told to, flushes them and ends. */
const createEndingScript = (lines: number): string => `${PRELUDE}
  process.on('message', () => {
    for (let count = 0; count < ${lines}; count += 1) sink.write(count + 'x'.repeat(100) + '\\n');
    sink.flush();
    process.exit(0);
  });
  process.send('ready');
`;

const spawnScript = (script: string): ChildProcess =>
  spawn(process.execPath, ['--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
  });

/** Resolves with the exit code, or `running` if the process has not ended in time. */
const waitForEnd = async (child: ChildProcess): Promise<number | null | 'running'> => {
  const ended = once(child, 'exit').then(([code]) => code as number | null);
  const result = await Promise.race([ended, delay(END_MS, 'running' as const, { ref: false })]);
  child.kill('SIGKILL');
  return result;
};

describe('the log sink of a process whose standard output is not read', () => {
  it('does not block, stays within its buffer and counts dropped lines', async () => {
    const child = spawnScript(SCRIPT);
    // Nothing reads child.stdout.
    const [{ droppedLines }] = (await once(child, 'message')) as [{ droppedLines: number }];
    expect(droppedLines).toBeLessThan(LINES);
    expect((LINES - droppedLines) * LINE_BYTES).toBeLessThanOrEqual(MAX_BYTES);
    child.kill();
  });
});

describe('the log sink of a process that ends', () => {
  it('ends although the log reader has closed the pipe with lines unwritten', async () => {
    const child = spawnScript(createEndingScript(1_000));
    await once(child, 'message');
    child.stdout?.destroy();
    await delay(50);
    child.send('end');
    expect(await waitForEnd(child)).toBe(0);
  });

  it('ends although the log reader hangs with lines unwritten', async () => {
    const child = spawnScript(createEndingScript(20_000));
    await once(child, 'message');
    child.stdout?.pause();
    child.send('end');
    expect(await waitForEnd(child)).toBe(0);
  });

  it('has written all lines once, in order, to a reader that reads', async () => {
    const child = spawnScript(createEndingScript(5_000));
    const chunks: Buffer[] = [];
    child.stdout?.on('data', (chunk: Buffer) => chunks.push(chunk));
    await once(child, 'message');
    child.send('end');
    await once(child, 'close');
    const numbers = Buffer.concat(chunks)
      .toString()
      .trimEnd()
      .split('\n')
      .map((line) => parseInt(line, 10));
    expect(numbers).toEqual(Array.from({ length: 5_000 }, (_, index) => index));
  });
});
