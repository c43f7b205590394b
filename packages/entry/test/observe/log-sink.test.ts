import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const SINK = fileURLToPath(new URL('../../dist/observe/log-sink.js', import.meta.url));
const LINES = 200_000;
const LINE_BYTES = 200;

/** Size of the sink's buffer, plus what a pipe and one write in progress hold. */
const MAX_BYTES = 4_194_304 + 262_144;

/** Logs far more than fits into the buffer and reports the dropped lines to the parent process. */
const SCRIPT = `
  import { createStdoutSink } from ${JSON.stringify(SINK)};
  const sink = createStdoutSink();
  const line = 'x'.repeat(${LINE_BYTES - 1}) + '\\n';
  for (let count = 0; count < ${LINES}; count += 1) sink.write(line);
  process.send({ droppedLines: sink.droppedLines }, () => process.exit());
`;

describe('the log sink of a process whose standard output is not read', () => {
  it('does not block, stays within its buffer and counts dropped lines', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    // Nothing reads child.stdout.
    const [{ droppedLines }] = (await once(child, 'message')) as [{ droppedLines: number }];
    expect(droppedLines).toBeLessThan(LINES);
    expect((LINES - droppedLines) * LINE_BYTES).toBeLessThanOrEqual(MAX_BYTES);
    child.kill();
  });
});
