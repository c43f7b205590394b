import { MS_PER_S } from './consts.js';
import { Latencies } from './latency.js';
import { readProcessorMs } from './process-usage.js';
import { countEvents, openStream } from './stream-client.js';
import { SIDES, type Bench, type Figures, type Side } from './types.js';

const STREAMS = 200;
const TOKENS = 600;
const MICROSECONDS_PER_MS = 1_000;

interface StreamedRun {
  readonly tokensPerS: number;
  readonly gaps: Latencies;
  readonly processorMs: number;
  readonly tokens: number;
  readonly elapsedMs: number;
}

const measureSide = async (bench: Bench, side: Side): Promise<StreamedRun> => {
  const gaps = new Latencies();
  let tokens = 0;
  const beforeMs = readProcessorMs(bench.entryPid);
  const startMs = performance.now();
  const streams = Array.from({ length: STREAMS }, () => {
    let lastMs: number | undefined;
    const onData = (part: Buffer): void => {
      const nowMs = performance.now();
      if (lastMs !== undefined) gaps.recordMs(nowMs - lastMs);
      lastMs = nowMs;
      tokens += countEvents(part);
    };
    return openStream(bench, side, 'paced', TOKENS, { onData }).ended;
  });
  await Promise.all(streams);
  const elapsedMs = performance.now() - startMs;
  const processorMs = readProcessorMs(bench.entryPid) - beforeMs;
  return { tokensPerS: (tokens * MS_PER_S) / elapsedMs, gaps, processorMs, tokens, elapsedMs };
};

/** 200 streams at the pace of the engine, first straight from it, then through the entry VM. */
export const measureStreams = async (bench: Bench): Promise<Figures> => {
  const runs = {} as Record<Side, StreamedRun>;
  for (const side of SIDES) runs[side] = await measureSide(bench, side);
  const { direct, entry } = runs;
  return {
    'tokens/s straight from the engine': direct.tokensPerS,
    'tokens/s through entry': entry.tokensPerS,
    'gap direct, 95th percentile ms': direct.gaps.readMs(95),
    'gap through entry, 95th percentile ms': entry.gaps.readMs(95),
    'added between tokens, 95th percentile ms': entry.gaps.readMs(95) - direct.gaps.readMs(95),
    'processor time per token, microseconds':
      (entry.processorMs * MICROSECONDS_PER_MS) / entry.tokens,
    'share of a core while streaming': entry.processorMs / entry.elapsedMs,
  };
};
