import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ChunkPacer } from '../../src/gateway/memory/chunk-pacer.js';

/** More small chunks than a body may have before it is paced. */
const MANY_CHUNKS = 1_000;
const REST_MS = 50;

interface TestBody {
  readonly isReading: () => boolean;
  /** Reports chunks that were read at once. */
  readonly read: (chunks: number, chunkBytes: number) => Promise<void>;
  readonly complete: () => void;
}

const createBody = (pacer: ChunkPacer): TestBody => {
  let isReading = true;
  let isComplete = false;
  const pace = pacer.createPace({
    isComplete: () => isComplete,
    hold: () => {
      isReading = false;
    },
    release: () => {
      isReading = true;
    },
  });
  return {
    isReading: () => isReading,
    read: async (chunks, chunkBytes) => {
      Array.from({ length: chunks }).forEach(() => pace(chunkBytes));
      expect(isReading).toBe(true);
      await new Promise(setImmediate);
    },
    complete: () => {
      isComplete = true;
    },
  };
};

describe('bodies in small chunks', () => {
  let pacer: ChunkPacer;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    pacer = new ChunkPacer();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('are read one after the other, with a rest in between', async () => {
    const bodies = [createBody(pacer), createBody(pacer), createBody(pacer)];
    for (const body of bodies) await body.read(MANY_CHUNKS, 4);
    expect(bodies.some(({ isReading }) => isReading())).toBe(false);
    const order: number[] = [];
    for (let turn = 0; turn < 4; turn += 1) {
      vi.advanceTimersToNextTimer();
      const reading = bodies.filter(({ isReading }) => isReading());
      expect(reading).toHaveLength(1);
      order.push(bodies.indexOf(reading[0]!));
      await reading[0]!.read(MANY_CHUNKS, 4);
    }
    expect(order).toEqual([0, 1, 2, 0]);
  });

  it('go on to their end where one of them ends in between', async () => {
    const bodies = [createBody(pacer), createBody(pacer)];
    for (const body of bodies) await body.read(MANY_CHUNKS, 4);
    vi.advanceTimersByTime(REST_MS);
    bodies[0]!.complete();
    await bodies[0]!.read(MANY_CHUNKS, 4);
    vi.advanceTimersByTime(REST_MS);
    expect(bodies[1]!.isReading()).toBe(true);
  });

  it('do not hold back bodies in large chunks, or with few small ones', async () => {
    const [large, few] = [createBody(pacer), createBody(pacer)];
    await large.read(MANY_CHUNKS, 1_000);
    for (let read = 0; read < 10; read += 1) await few.read(100, 4);
    expect(large.isReading()).toBe(true);
    expect(few.isReading()).toBe(true);
  });
});
