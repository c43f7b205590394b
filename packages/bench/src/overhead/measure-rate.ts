import { MS_PER_S } from './consts.js';
import { Latencies } from './latency.js';
import { measureFirstByte } from './measure-short.js';
import { readProcessorMs } from './process-usage.js';
import type { Bench, Figures, Side } from './types.js';

const RATES_PER_S = [250, 500, 1_000, 1_500, 2_000];
const SECONDS_PER_RATE = 1.5;
const MAX_ADDED_MS = 5;

/** Sends at a fixed rate, whether answers come or not; latency counts from the planned arrival. */
const measureAtRate = async (bench: Bench, side: Side, ratePerS: number): Promise<Latencies> => {
  const latencies = new Latencies();
  const running: Promise<void>[] = [];
  const startMs = performance.now();
  const count = ratePerS * SECONDS_PER_RATE;
  for (let sent = 0; sent < count; sent += 1) {
    const plannedMs = startMs + (sent * MS_PER_S) / ratePerS;
    const waitMs = plannedMs - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    const lateMs = performance.now() - plannedMs;
    running.push(
      measureFirstByte(bench, side).then((firstMs) => latencies.recordMs(firstMs + lateMs)),
    );
  }
  await Promise.all(running);
  return latencies;
};

interface RateResult {
  readonly ratePerS: number;
  readonly addedMs: number;
  readonly coreShare: number;
}

const compareAtRate = async (bench: Bench, ratePerS: number): Promise<RateResult> => {
  const direct = await measureAtRate(bench, 'direct', ratePerS);
  const beforeMs = readProcessorMs(bench.entryPid);
  const startMs = performance.now();
  const entry = await measureAtRate(bench, 'entry', ratePerS);
  const coreShare = (readProcessorMs(bench.entryPid) - beforeMs) / (performance.now() - startMs);
  return { ratePerS, addedMs: entry.readMs(99) - direct.readMs(99), coreShare };
};

/** What the 99th percentile gains at each rate, and the highest rate at which it is in bounds. */
export const measureRate = async (bench: Bench): Promise<Figures> => {
  const results: RateResult[] = [];
  for (const ratePerS of RATES_PER_S) results.push(await compareAtRate(bench, ratePerS));
  const held = results.filter(({ addedMs }) => addedMs < MAX_ADDED_MS);
  const added = results.map(({ ratePerS, addedMs }) => [
    `added 99th percentile at ${ratePerS} requests/s, ms`,
    addedMs,
  ]);
  return {
    'highest rate with under 5 ms added, requests/s': held.at(-1)?.ratePerS ?? 0,
    'share of a core at that rate': held.at(-1)?.coreShare ?? 0,
    ...(Object.fromEntries(added) as Figures),
  };
};
