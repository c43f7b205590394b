import { Latencies } from './latencies.js';
import { readProcessorMs } from './process-usage.js';
import { openStream } from './stream-client.js';
import { ROUTES, type Figures, type Route, type Testbed } from './types.js';

const WARM_UP_ROUNDS = 300;
const ROUNDS = 500;
const MICROSECONDS_PER_MS = 1_000;

/** Sends one short request; returns the time to the first byte of the response, in milliseconds. */
export const measureFirstByte = async (testbed: Testbed, route: Route): Promise<number> => {
  const startMs = performance.now();
  let firstMs: number | undefined;
  const onData = (): void => {
    firstMs ??= performance.now() - startMs;
  };
  await openStream(testbed, route, 'instant', 1, { onData }).ended;
  return firstMs ?? Number.NaN;
};

/** Measures single short requests, alternating between both routes. */
export const measureShortRequests = async (testbed: Testbed): Promise<Figures> => {
  const latencies = { direct: new Latencies(), entry: new Latencies() };
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    for (const route of ROUTES) await measureFirstByte(testbed, route);
  }
  const beforeMs = readProcessorMs(testbed.entryPid);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const route of ROUTES) latencies[route].recordMs(await measureFirstByte(testbed, route));
  }
  const processorMs = readProcessorMs(testbed.entryPid) - beforeMs;
  const direct = latencies.direct.readPercentileMs(50);
  const entry = latencies.entry.readPercentileMs(50);
  return {
    'first byte direct, median ms': direct,
    'first byte through entry, median ms': entry,
    'added to first byte, median ms': entry - direct,
    'added to first byte, 99th percentile ms':
      latencies.entry.readPercentileMs(99) - latencies.direct.readPercentileMs(99),
    'processor time per request, microseconds': (processorMs * MICROSECONDS_PER_MS) / ROUNDS,
  };
};
