import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { EngineSimulator, type EngineSimulatorSettings, type StreamRequest } from '../src/index.js';

const createSimulator = (overrides: Partial<EngineSimulatorSettings> = {}): EngineSimulator =>
  new EngineSimulator({
    memoryTokens: 400_000,
    prefillTokensPerS: 20_000,
    decodeTokensPerS: 100,
    stepPerSequenceMs: 0,
    stepPerMillionTokensMs: 0,
    ...overrides,
  });

const createRequest = (overrides: Partial<StreamRequest> = {}): StreamRequest => ({
  streamId: 'stream-1',
  promptTokens: 2_000,
  maxOutputTokens: 11,
  seedText: 'seed',
  ...overrides,
});

/** Starts streams and records the times of the first and the last token of each. */
const recordTimes = (simulator: EngineSimulator, requests: readonly StreamRequest[]) => {
  const times = new Map<string, { firstMs: number; lastMs: number }>();
  requests.forEach((request) => {
    const stream = simulator.startStream(request);
    if (stream === undefined) throw new Error('stream does not fit into the engine memory');
    stream.listener = () => {
      const { firstMs = performance.now() } = times.get(request.streamId) ?? {};
      times.set(request.streamId, { firstMs, lastMs: performance.now() });
      if (stream.finished) simulator.releaseStream(request.streamId);
    };
  });
  return times;
};

const RUN_MS = 600_000;

describe('EngineSimulator', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each(['everyToken', 'milestones'] as const)('times a single stream, pace %s', (pace) => {
    const simulator = createSimulator({ pace, attentionTokens: Infinity });
    const times = recordTimes(simulator, [createRequest()]);
    vi.advanceTimersByTime(RUN_MS);
    expect(times.get('stream-1')).toEqual({ firstMs: 100, lastMs: 200 });
    expect(simulator.usedMemoryTokens).toBe(0);
  });

  it('computes the same times in both paces', () => {
    const requests = Array.from({ length: 20 }, (_, index) =>
      createRequest({
        streamId: `s${index}`,
        promptTokens: 1_000 + 977 * index,
        maxOutputTokens: 5 + 7 * (index % 4),
        priority: index % 3,
      }),
    );
    const settings = { stepPerSequenceMs: 0.3, stepPerMillionTokensMs: 5 };
    const everyToken = recordTimes(createSimulator({ ...settings, pace: 'everyToken' }), requests);
    vi.advanceTimersByTime(RUN_MS);
    const startMs = performance.now();
    const milestones = recordTimes(createSimulator({ ...settings, pace: 'milestones' }), requests);
    vi.advanceTimersByTime(RUN_MS);
    requests.forEach(({ streamId }) => {
      const { lastMs = NaN } = everyToken.get(streamId) ?? {};
      expect(Math.abs((milestones.get(streamId)?.lastMs ?? NaN) - startMs - lastMs)).toBeLessThan(
        2,
      );
    });
  });

  it('rejects a stream that does not fit and frees memory on release', () => {
    const simulator = createSimulator({ memoryTokens: 3_000 });
    expect(simulator.startStream(createRequest())).toBeDefined();
    expect(simulator.startStream(createRequest({ streamId: 'stream-2' }))).toBeUndefined();
    expect(simulator.releaseStream('stream-1')).toBe(true);
    expect(simulator.releaseStream('stream-1')).toBe(false);
    expect(simulator.startStream(createRequest({ streamId: 'stream-2' }))).toBeDefined();
  });

  it('prefills a prompt of higher priority before the rest of a long one', () => {
    const long = createRequest({ streamId: 'long', promptTokens: 200_000 });
    const short = createRequest({ streamId: 'short', priority: 1 });
    const honoured = recordTimes(createSimulator(), [long, short]);
    vi.advanceTimersByTime(RUN_MS);
    expect(honoured.get('short')?.firstMs).toBeLessThan(110);
    const startMs = performance.now();
    const ignored = recordTimes(createSimulator({ priorities: 'ignored' }), [long, short]);
    vi.advanceTimersByTime(RUN_MS);
    expect((ignored.get('short')?.firstMs ?? 0) - startMs).toBeGreaterThan(10_000);
  });

  it('continues decoding between the prefill chunks of another prompt', () => {
    const simulator = createSimulator({ prefillChunkTokens: 500, attentionTokens: Infinity });
    const times = recordTimes(simulator, [
      createRequest({ maxOutputTokens: 101 }),
      createRequest({ streamId: 'long', promptTokens: 100_000 }),
    ]);
    vi.advanceTimersByTime(RUN_MS);
    // A step takes 10 ms, and 25 ms with a chunk: 100 steps take 2.5 s and prefill half the prompt.
    expect(times.get('stream-1')).toEqual({ firstMs: 100, lastMs: 2_600 });
    expect(times.get('long')?.firstMs).toBe(100 + 2_500 + 2_500);
  });

  it('slows down decode steps as the batch and its context grow', () => {
    const measureLastMs = (count: number): number => {
      const simulator = createSimulator({ stepPerSequenceMs: 1, stepPerMillionTokensMs: 10 });
      const startMs = performance.now();
      const requests = Array.from({ length: count }, (_, index) =>
        createRequest({ streamId: `s${index}`, maxOutputTokens: 200 }),
      );
      const times = recordTimes(simulator, requests);
      vi.advanceTimersByTime(RUN_MS);
      return (times.get('s0')?.lastMs ?? 0) - startMs;
    };
    expect(measureLastMs(10)).toBeGreaterThan(1.5 * measureLastMs(1));
  });

  it('skips cached prefix blocks and publishes cache events with delay and gaps', () => {
    const digests = Array.from({ length: 10 }, (_, index) => `block-${index}`);
    const simulator = createSimulator({
      prefixBlockTokens: 100,
      cacheEventDelayMs: 1_000,
      cacheEventLoss: 0.5,
    });
    const first = simulator.startStream(createRequest({ prefixDigests: digests }));
    vi.advanceTimersByTime(500);
    expect(simulator.listCacheEvents(0)).toEqual([]);
    const second = simulator.startStream(createRequest({ streamId: 's2', prefixDigests: digests }));
    expect([first?.cachedTokens, second?.cachedTokens]).toEqual([0, 1_000]);
    vi.advanceTimersByTime(1_500);
    const count = simulator.listCacheEvents(0).length;
    expect(count).toBeGreaterThan(2);
    expect(count).toBeLessThan(8);
  });

  it('evicts cached blocks when streams need their memory', () => {
    const simulator = createSimulator({ memoryTokens: 4_000, prefixBlockTokens: 1_000 });
    recordTimes(simulator, [createRequest({ prefixDigests: ['a', 'b'] })]);
    vi.advanceTimersByTime(1_000);
    recordTimes(simulator, [createRequest({ streamId: 's2', promptTokens: 3_500 })]);
    vi.advanceTimersByTime(1_000);
    const third = simulator.startStream(
      createRequest({ streamId: 's3', prefixDigests: ['a', 'b'] }),
    );
    expect(third?.cachedTokens).toBe(0);
  });

  it('reports its load with a lag', () => {
    const simulator = createSimulator({ loadLagMs: 300 });
    vi.advanceTimersByTime(1_000);
    simulator.startStream(createRequest({ promptTokens: 100_000 }));
    vi.advanceTimersByTime(299);
    expect(simulator.readLoad().runningStreams).toBe(0);
    vi.advanceTimersByTime(1);
    expect(simulator.readLoad()).toMatchObject({ runningStreams: 1, queuedPromptTokens: 100_000 });
  });

  it('imports KV cache instead of prefilling the prompt', () => {
    const simulator = createSimulator({ transferTokensPerS: 1_000_000 });
    const request = createRequest({ promptTokens: 100_000, importedTokens: 99_999 });
    const times = recordTimes(simulator, [request]);
    vi.advanceTimersByTime(RUN_MS);
    expect(times.get('stream-1')?.firstMs).toBe(101);
  });
});
