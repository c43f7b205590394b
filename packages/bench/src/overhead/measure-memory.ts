import { readResidentBytes } from './process-usage.js';
import { openStream } from './stream-client.js';
import type { EngineProfile, Figures, Testbed } from './types.js';

const STREAMS = 1_000;
const BYTES_PER_KB = 1_000;

/** More tokens than an engine sends during a measurement, so that streams stay open. */
const MAX_OUTPUT_TOKENS = 1_000_000;

/** Time for memory use to stabilise after streams are opened or closed. */
const STABILISATION_MS = 1_500;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Opens many streams; returns the resident memory that each adds to the entry VM, in kilobytes. */
const measureKbPerStream = async (testbed: Testbed, profile: EngineProfile): Promise<number> => {
  await wait(STABILISATION_MS);
  const before = readResidentBytes(testbed.entryPid);
  const streams = Array.from({ length: STREAMS }, () => {
    const stream = openStream(testbed, 'entry', profile, MAX_OUTPUT_TOKENS, {});
    stream.ended.catch(() => {});
    return stream;
  });
  await wait(STABILISATION_MS);
  const after = readResidentBytes(testbed.entryPid);
  streams.forEach(({ clientRequest }) => clientRequest.destroy());
  await wait(STABILISATION_MS);
  return (after - before) / STREAMS / BYTES_PER_KB;
};

/** Measures the memory per stream with 1,000 streams, before the first token and while streaming. */
export const measureMemory = async (testbed: Testbed): Promise<Figures> => ({
  'memory of a stream that waits, KB': await measureKbPerStream(testbed, 'silent'),
  'memory of a stream that receives 10 tokens/s, KB': await measureKbPerStream(testbed, 'slow'),
});
