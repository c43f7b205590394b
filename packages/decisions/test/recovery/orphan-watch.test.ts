import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { EngineStream, OwnerLife } from '../../src/index.js';
import {
  DEADLINE_TOLERANCE_MS,
  UNREACHABLE_OWNER_MS,
  WITHOUT_READER_MS,
} from '../../src/recovery/consts.js';
import { OrphanWatch } from '../../src/recovery/orphan-watch.js';
import { formatStreamId, parseStreamId } from '../../src/recovery/stream-id.js';

const SEED = 4;
const TIMEOUT_MS = 60_000;
const owner = { vmId: 'entry-a1', incarnation: 3, timeoutMs: TIMEOUT_MS };
const streamId = formatStreamId(owner, 'entry-a1.3.9');

const createStream = (overrides: Partial<EngineStream> = {}): EngineStream => ({
  streamId,
  memoryTokens: 1_000,
  attached: false,
  ageMs: 1_000,
  ...overrides,
});

const createWatch = (life: OwnerLife): OrphanWatch => new OrphanWatch(() => life);

describe('stream ids', () => {
  it('give back owner, incarnation and time', () => {
    expect(parseStreamId(streamId)).toEqual(owner);
  });

  it.each(['', 'a', 'a~b~c~d', '~1~2~x', 'a~1~2', 'a~1~2~x~y'])('take "%s" for none', (text) => {
    expect(parseStreamId(text)).toBeUndefined();
  });
});

describe('OrphanWatch', () => {
  it.each<[OwnerLife, number]>([
    ['live', WITHOUT_READER_MS],
    ['unreachable', UNREACHABLE_OWNER_MS],
    ['replaced', 0],
  ])('releases a stream without a reader whose owner is %s after %i ms', (life, waitMs) => {
    const watch = createWatch(life);
    const first = watch.acceptStreams('engine', [createStream()], 0);
    expect(first).toHaveLength(waitMs === 0 ? 1 : 0);
    const early = watch.acceptStreams('engine', [createStream()], Math.max(0, waitMs - 1));
    expect(early).toHaveLength(waitMs === 0 ? 1 : 0);
    expect(watch.acceptStreams('engine', [createStream()], waitMs)).toHaveLength(1);
  });

  it('counts the wait anew after a reader was there', () => {
    const watch = createWatch('unreachable');
    watch.acceptStreams('engine', [createStream()], 0);
    watch.acceptStreams('engine', [createStream({ attached: true })], 5_000);
    expect(watch.acceptStreams('engine', [createStream()], UNREACHABLE_OWNER_MS)).toEqual([]);
  });

  it('releases any stream past its deadline', () => {
    const late = createStream({ attached: true, ageMs: TIMEOUT_MS + DEADLINE_TOLERANCE_MS + 1 });
    expect(createWatch('live').acceptStreams('engine', [late], 0)).toEqual([
      { streamId, reason: 'pastDeadline' },
    ]);
  });

  it('never releases a stream with a reader in its time, whatever is thought of its owner', () => {
    const look = fc.record({
      life: fc.constantFrom<OwnerLife>('live', 'unreachable', 'replaced'),
      waitMs: fc.integer({ min: 0, max: 20_000 }),
      ageMs: fc.integer({ min: 0, max: TIMEOUT_MS }),
    });
    const property = fc.property(fc.array(look), (looks) => {
      let life: OwnerLife = 'live';
      let nowMs = 0;
      const watch = new OrphanWatch(() => life);
      looks.forEach(({ waitMs, ageMs, ...next }) => {
        life = next.life;
        nowMs += waitMs;
        const stream = createStream({ attached: true, ageMs });
        expect(watch.acceptStreams('engine', [stream], nowMs)).toEqual([]);
      });
    });
    fc.assert(property, { seed: SEED });
  });

  it('leaves streams alone that no entry VM started', () => {
    const foreign = createStream({ streamId: 'warm-up', ageMs: 10 * TIMEOUT_MS });
    expect(createWatch('replaced').acceptStreams('engine', [foreign], 0)).toEqual([]);
  });
});
