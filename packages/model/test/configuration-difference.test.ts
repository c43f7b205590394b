import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyDifference, buildDifference, type Configuration } from '../src/index.js';

const SEED = 7;
const RUNS = 500;

const createConfiguration = (
  teams: readonly { id: string; weight: number }[],
  presetInForce: string,
): Configuration => ({
  teams: teams.map((team) => ({ ...team, credentialSha256: ['0'.repeat(64)], limits: {} })),
  models: [],
  services: [],
  endpoints: [],
  presets: [{ id: presetInForce, slowdownWeight: 0.5 }],
  presetInForce,
});

const configurations = fc
  .tuple(
    fc.uniqueArray(
      fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), weight: fc.nat({ max: 3 }) }),
      { selector: ({ id }) => id },
    ),
    fc.constantFrom('ordinary', 'peak'),
  )
  .map(([teams, preset]) => createConfiguration(teams, preset));

describe('the difference of two configurations', () => {
  it('yields an identical configuration when applied, or is undefined', () => {
    let defined = 0;
    fc.assert(
      fc.property(configurations, configurations, (before, after) => {
        const difference = buildDifference(before, after);
        if (difference === undefined) return;
        defined += 1;
        expect(JSON.stringify(applyDifference(before, difference))).toBe(JSON.stringify(after));
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(defined).toBeGreaterThan(RUNS / 10);
  });

  it('contains only the preset if nothing else changed', () => {
    const before = createConfiguration([{ id: 'a', weight: 1 }], 'ordinary');
    const after = { ...before, presetInForce: 'peak' };
    expect(buildDifference(before, after)).toEqual({ presetInForce: 'peak', sections: {} });
  });

  it('is not applied if it is malformed', () => {
    const before = createConfiguration([], 'ordinary');
    const malformed = { presetInForce: 'peak', sections: { teams: 3 } } as never;
    expect(applyDifference(before, malformed)).toBeUndefined();
    expect(applyDifference(before, undefined as never)).toBeUndefined();
  });
});
