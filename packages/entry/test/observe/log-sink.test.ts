import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const SINK = fileURLToPath(new URL('../../dist/observe/log-sink.js', import.meta.url));
const LINES = 200_000;
const LINE_BYTES = 200;

/** The bound of lines that wait, and what a pipe and one write hold besides. */
const MOST_BYTES = 4_194_304 + 262_144;

/** Logs far more than a reader takes who reads nothing, and tells its parent how it went. */
const SCRIPT = `
  import { createStdoutSink } from ${JSON.stringify(SINK)};
  const sink = createStdoutSink();
  const line = 'x'.repeat(${LINE_BYTES - 1}) + '\\n';
  for (let count = 0; count < ${LINES}; count += 1) sink.write(line);
  process.send({ droppedLines: sink.droppedLines }, () => process.exit());
`;

describe('the log of a process whose reader reads nothing', () => {
  it('holds nothing up, keeps within its bound and counts what it left out', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', SCRIPT], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    // Nothing reads child.stdout.
    const [{ droppedLines }] = (await once(child, 'message')) as [{ droppedLines: number }];
    expect(droppedLines).toBeLessThan(LINES);
    expect((LINES - droppedLines) * LINE_BYTES).toBeLessThanOrEqual(MOST_BYTES);
    child.kill();
  });
});
