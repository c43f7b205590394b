import { readResidentBytes } from './process-usage.js';
import { openStream } from './stream-client.js';
import type { Bench, EnginePace, Figures } from './types.js';

const STREAMS = 1_000;
const BYTES_PER_KB = 1_000;
const MANY_TOKENS = 1_000_000;
const SETTLE_MS = 1_500;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Holds many streams open and returns the resident memory that one of them adds, in kilobytes. */
const measureHeld = async (bench: Bench, pace: EnginePace): Promise<number> => {
  await wait(SETTLE_MS);
  const before = readResidentBytes(bench.entryPid);
  const streams = Array.from({ length: STREAMS }, () => {
    const stream = openStream(bench, 'entry', pace, MANY_TOKENS, {});
    stream.ended.catch(() => {});
    return stream;
  });
  await wait(SETTLE_MS);
  const after = readResidentBytes(bench.entryPid);
  streams.forEach(({ call }) => call.destroy());
  await wait(SETTLE_MS);
  return (after - before) / STREAMS / BYTES_PER_KB;
};

/** Memory of 1,000 concurrent streams that wait for their first token, and that receive tokens. */
export const measureMemory = async (bench: Bench): Promise<Figures> => ({
  'memory of a stream that waits, KB': await measureHeld(bench, 'silent'),
  'memory of a stream that receives 10 tokens/s, KB': await measureHeld(bench, 'slow'),
});
