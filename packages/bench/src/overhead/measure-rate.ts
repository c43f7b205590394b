import { MS_PER_S } from './consts.js';
import { Latencies } from './latencies.js';
import { measureFirstByte } from './measure-short-requests.js';
import { readProcessorMs } from './process-usage.js';
import type { Figures, Route, Testbed } from './types.js';

const RATES_PER_S = [250, 500, 1_000, 1_500, 2_000];
const SECONDS_PER_RATE = 1.5;

/** Bound on the latency that the entry VM adds at the 99th percentile. */
const MAX_ADDED_MS = 5;

/** Sends requests at a fixed rate (open loop); latency counts from the planned send time. */
const measureAtRate = async (
  testbed: Testbed,
  route: Route,
  ratePerS: number,
): Promise<Latencies> => {
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
    const sendDelayMs = performance.now() - plannedMs;
    running.push(
      measureFirstByte(testbed, route).then((firstMs) => latencies.recordMs(firstMs + sendDelayMs)),
    );
  }
  await Promise.all(running);
  return latencies;
};

interface RateResult {
  readonly ratePerS: number;
  readonly addedMs: number;
  readonly coreFraction: number;
}

const compareAtRate = async (testbed: Testbed, ratePerS: number): Promise<RateResult> => {
  const direct = await measureAtRate(testbed, 'direct', ratePerS);
  const beforeMs = readProcessorMs(testbed.entryPid);
  const startMs = performance.now();
  const entry = await measureAtRate(testbed, 'entry', ratePerS);
  const coreFraction =
    (readProcessorMs(testbed.entryPid) - beforeMs) / (performance.now() - startMs);
  return {
    ratePerS,
    addedMs: entry.readPercentileMs(99) - direct.readPercentileMs(99),
    coreFraction,
  };
};

/** Measures the 99th percentile latency added per rate, and the highest rate within the bound. */
export const measureRate = async (testbed: Testbed): Promise<Figures> => {
  const results: RateResult[] = [];
  for (const ratePerS of RATES_PER_S) results.push(await compareAtRate(testbed, ratePerS));
  const sustained = results.filter(({ addedMs }) => addedMs < MAX_ADDED_MS);
  const added = results.map(({ ratePerS, addedMs }) => [
    `added 99th percentile at ${ratePerS} requests/s, ms`,
    addedMs,
  ]);
  return {
    'highest rate with under 5 ms added, requests/s': sustained.at(-1)?.ratePerS ?? 0,
    'share of a core at that rate': sustained.at(-1)?.coreFraction ?? 0,
    ...(Object.fromEntries(added) as Figures),
  };
};
