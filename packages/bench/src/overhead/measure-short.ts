import { Latencies } from './latency.js';
import { readProcessorMs } from './process-usage.js';
import { openStream } from './stream-client.js';
import { SIDES, type Bench, type Figures, type Side } from './types.js';

const WARM_UP = 300;
const ROUNDS = 500;
const MICROSECONDS_PER_MS = 1_000;

/** Sends one short request and returns the time to the first byte of its answer, in milliseconds. */
export const measureFirstByte = async (bench: Bench, side: Side): Promise<number> => {
  const startMs = performance.now();
  let firstMs: number | undefined;
  const onData = (): void => {
    firstMs ??= performance.now() - startMs;
  };
  await openStream(bench, side, 'instant', 1, { onData }).ended;
  return firstMs ?? Number.NaN;
};

/** One request at a time, in turn on both sides. */
export const measureShort = async (bench: Bench): Promise<Figures> => {
  const latencies = { direct: new Latencies(), entry: new Latencies() };
  for (let round = 0; round < WARM_UP; round += 1) {
    for (const side of SIDES) await measureFirstByte(bench, side);
  }
  const beforeMs = readProcessorMs(bench.entryPid);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const side of SIDES) latencies[side].recordMs(await measureFirstByte(bench, side));
  }
  const processorMs = readProcessorMs(bench.entryPid) - beforeMs;
  const direct = latencies.direct.readMs(50);
  const entry = latencies.entry.readMs(50);
  return {
    'first byte direct, median ms': direct,
    'first byte through entry, median ms': entry,
    'added to first byte, median ms': entry - direct,
    'added to first byte, 99th percentile ms':
      latencies.entry.readMs(99) - latencies.direct.readMs(99),
    'processor time per request, microseconds': (processorMs * MICROSECONDS_PER_MS) / ROUNDS,
  };
};
