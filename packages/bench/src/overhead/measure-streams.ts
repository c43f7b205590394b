import { MS_PER_S } from './consts.js';
import { Latencies } from './latencies.js';
import { readProcessorMs } from './process-usage.js';
import { countEvents, openStream } from './stream-client.js';
import { ROUTES, type Figures, type Route, type Testbed } from './types.js';

const STREAMS = 200;
const TOKENS = 600;
const MICROSECONDS_PER_MS = 1_000;

/** Figures of all streams on one route; `processorMs` is that of the entry VM. */
interface StreamedRun {
  readonly tokensPerS: number;
  readonly interTokenLatencies: Latencies;
  readonly processorMs: number;
  readonly tokens: number;
  readonly elapsedMs: number;
}

const measureRoute = async (testbed: Testbed, route: Route): Promise<StreamedRun> => {
  const interTokenLatencies = new Latencies();
  let tokens = 0;
  const beforeMs = readProcessorMs(testbed.entryPid);
  const startMs = performance.now();
  const streams = Array.from({ length: STREAMS }, () => {
    let lastMs: number | undefined;
    const onData = (chunk: Buffer): void => {
      const nowMs = performance.now();
      if (lastMs !== undefined) interTokenLatencies.recordMs(nowMs - lastMs);
      lastMs = nowMs;
      tokens += countEvents(chunk);
    };
    return openStream(testbed, route, 'paced', TOKENS, { onData }).ended;
  });
  await Promise.all(streams);
  const elapsedMs = performance.now() - startMs;
  const processorMs = readProcessorMs(testbed.entryPid) - beforeMs;
  return {
    tokensPerS: (tokens * MS_PER_S) / elapsedMs,
    interTokenLatencies,
    processorMs,
    tokens,
    elapsedMs,
  };
};

/** Measures 200 concurrent streams, first directly from the engine, then through the entry VM. */
export const measureStreams = async (testbed: Testbed): Promise<Figures> => {
  const runs = {} as Record<Route, StreamedRun>;
  for (const route of ROUTES) runs[route] = await measureRoute(testbed, route);
  const { direct, entry } = runs;
  return {
    'tokens/s straight from the engine': direct.tokensPerS,
    'tokens/s through entry': entry.tokensPerS,
    'gap direct, 95th percentile ms': direct.interTokenLatencies.readPercentileMs(95),
    'gap through entry, 95th percentile ms': entry.interTokenLatencies.readPercentileMs(95),
    'added between tokens, 95th percentile ms':
      entry.interTokenLatencies.readPercentileMs(95) -
      direct.interTokenLatencies.readPercentileMs(95),
    'processor time per token, microseconds':
      (entry.processorMs * MICROSECONDS_PER_MS) / entry.tokens,
    'share of a core while streaming': entry.processorMs / entry.elapsedMs,
  };
};
