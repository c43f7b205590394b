import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createIdleLoad } from '../../src/gateway/fleet-load-tracker.js';
import { drawEngine } from '../../src/gateway/placement/draw-engine.js';
import {
  isAtFillLimit,
  type EngineEstimate,
} from '../../src/gateway/placement/placement-estimates.js';
import { createEndpoint } from '../fixtures/gateway-driver.js';

const SLOTS = 8;

const createEstimate = (id: string, writers: number, isLate = false): EngineEstimate => ({
  endpoint: createEndpoint(id, { slots: SLOTS }),
  load: { ...createIdleLoad(), writers },
  isPermitted: true,
  isCold: false,
  disruption: 0,
  firstEventMs: 100,
  isLate,
});

/** Engines with free slots, the fullest below the fill limit first. */
const rankedEngines = fc
  .array(fc.integer({ min: 0, max: SLOTS - 1 }), { minLength: 1, maxLength: 30 })
  .map((writers) =>
    writers
      .map((count, index) => createEstimate(`e${index}`, count))
      .sort((a, b) => Number(isAtFillLimit(a)) - Number(isAtFillLimit(b))),
  );

const drawRandom = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

describe('drawing one of the best engines', () => {
  it('finds one whenever there is any, and none that callers would notice as worse', () => {
    const unseen = fc.integer({ min: 1, max: 40 });
    fc.assert(
      fc.property(rankedEngines, unseen, drawRandom, (ranked, unseenRequests, random) => {
        const drawn = drawEngine(ranked, unseenRequests, random)!;
        expect(isAtFillLimit(drawn)).toBe(isAtFillLimit(ranked[0]!));
      }),
    );
  });

  it('draws an engine as often as it has free slots up to the fill limit', () => {
    const ranked = [createEstimate('full', 5), createEstimate('half', 3)];
    const draws = Array.from({ length: 100 }, (_, step) => drawEngine(ranked, 8, step / 100)!);
    const count = draws.filter(({ endpoint }) => endpoint.id === 'full').length;
    // One slot of four.
    expect(count).toBe(25);
  });

  it('takes the best engine alone where its slots suffice for what is unseen', () => {
    const ranked = [createEstimate('best', 1), createEstimate('other', 0)];
    expect(drawEngine(ranked, 1, 0.99)?.endpoint.id).toBe('best');
  });

  it('draws no late engine beside one that is in time', () => {
    const ranked = [createEstimate('inTime', 5), createEstimate('late', 0, true)];
    expect(drawEngine(ranked, 8, 0.99)?.endpoint.id).toBe('inTime');
  });

  it('finds nothing without engines', () => {
    expect(drawEngine([], 1, 0.5)).toBeUndefined();
  });
});
