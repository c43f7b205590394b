import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { EngineStream, OwnerState } from '../../src/index.js';
import {
  DEADLINE_TOLERANCE_MS,
  UNREACHABLE_OWNER_TIMEOUT_MS,
  NO_READER_TIMEOUT_MS,
} from '../../src/recovery/consts.js';
import { OrphanDetector } from '../../src/recovery/orphan-detector.js';
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

const createDetector = (ownerState: OwnerState): OrphanDetector =>
  new OrphanDetector(() => ownerState);

describe('stream ids', () => {
  it('encode owner, incarnation and timeout', () => {
    expect(parseStreamId(streamId)).toEqual(owner);
  });

  it.each(['', 'a', 'a~b~c~d', '~1~2~x', 'a~1~2', 'a~1~2~x~y'])(
    'are not parsed from "%s"',
    (text) => {
      expect(parseStreamId(text)).toBeUndefined();
    },
  );
});

describe('OrphanDetector', () => {
  it.each<[OwnerState, number]>([
    ['live', NO_READER_TIMEOUT_MS],
    ['unreachable', UNREACHABLE_OWNER_TIMEOUT_MS],
    ['replaced', 0],
  ])('releases a stream without a reader whose owner is %s after %i ms', (ownerState, waitMs) => {
    const detector = createDetector(ownerState);
    const first = detector.findOrphans('engine', [createStream()], 0);
    expect(first).toHaveLength(waitMs === 0 ? 1 : 0);
    const early = detector.findOrphans('engine', [createStream()], Math.max(0, waitMs - 1));
    expect(early).toHaveLength(waitMs === 0 ? 1 : 0);
    expect(detector.findOrphans('engine', [createStream()], waitMs)).toHaveLength(1);
  });

  it('restarts the delay after a reader was attached', () => {
    const detector = createDetector('unreachable');
    detector.findOrphans('engine', [createStream()], 0);
    detector.findOrphans('engine', [createStream({ attached: true })], 5_000);
    expect(detector.findOrphans('engine', [createStream()], UNREACHABLE_OWNER_TIMEOUT_MS)).toEqual(
      [],
    );
  });

  it('releases any stream past its deadline', () => {
    const late = createStream({ attached: true, ageMs: TIMEOUT_MS + DEADLINE_TOLERANCE_MS + 1 });
    expect(createDetector('live').findOrphans('engine', [late], 0)).toEqual([
      { streamId, reason: 'pastDeadline' },
    ]);
  });

  it('never releases a stream with a reader before its deadline, whatever its owner state', () => {
    const observation = fc.record({
      ownerState: fc.constantFrom<OwnerState>('live', 'unreachable', 'replaced'),
      waitMs: fc.integer({ min: 0, max: 20_000 }),
      ageMs: fc.integer({ min: 0, max: TIMEOUT_MS }),
    });
    const property = fc.property(fc.array(observation), (observations) => {
      let ownerState: OwnerState = 'live';
      let nowMs = 0;
      const detector = new OrphanDetector(() => ownerState);
      observations.forEach(({ waitMs, ageMs, ...next }) => {
        ownerState = next.ownerState;
        nowMs += waitMs;
        const stream = createStream({ attached: true, ageMs });
        expect(detector.findOrphans('engine', [stream], nowMs)).toEqual([]);
      });
    });
    fc.assert(property, { seed: SEED });
  });

  it('ignores streams that no entry VM started', () => {
    const foreign = createStream({ streamId: 'warm-up', ageMs: 10 * TIMEOUT_MS });
    expect(createDetector('replaced').findOrphans('engine', [foreign], 0)).toEqual([]);
  });
});
