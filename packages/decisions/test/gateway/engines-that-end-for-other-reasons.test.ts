import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { describe, expect, it } from 'vitest';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
} from '../fixtures/gateway-fleet.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 20) }, (_, index) => index + 1);

const DOMAINS = ['a', 'b', 'c'];
const ENTRY_VMS = 9;
const SECOND_PARTS = 60;

/** Why engines end, or why all connections to them do. */
const REASONS = ['release', 'power', 'resets', 'suspended', 'group'] as const;

type Reason = (typeof REASONS)[number];

const ROUNDS = 5;
const STEP_MS = 50;

/** Longest time for which a sound suspect may be blocked: until a trial has been answered. */
const MAX_BLOCKED_MS = 4_000;

interface Outcome {
  readonly longestBlockedMs: number;
  readonly servedFraction: number;
}

/** Runs a fleet without any harmful request, whose engines end for other reasons. */
const runFleet = (seed: number, reason: Reason): Outcome => {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  let drawn = 0;
  let groupPart: string | undefined;

  const drawRequest = (uniform: number): FleetRequest => {
    drawn += 1;
    // Callers of a plain service repeat the same question.
    if (uniform < 0.2)
      return { path: '/balance/', promptTokens: 0, fingerprint: `balance-${drawn % 3}` };
    const second = groupPart ?? `bb${Math.floor(draw() * SECOND_PARTS)}`;
    return { path: '/chat/', promptTokens: 5_000, sharedParts: ['aa', second] };
  };

  const fleet = new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: ENTRY_VMS / DOMAINS.length,
    endpoints: [...createEngines(23, DOMAINS), ...createReplicas(6, DOMAINS)],
    requestsPerS: 40,
    drawRequest,
  });
  let longestBlockedMs = 0;
  const run = (durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      fleet.run(STEP_MS);
      longestBlockedMs = Math.max(longestBlockedMs, ...fleet.listBlockedMs());
    }
  };
  const pickDomain = (): string => DOMAINS[Math.floor(draw() * DOMAINS.length)]!;
  /** Ends some engines one after another, each with all that is open there. */
  const release = (engines: number, gapMs: number): void => {
    for (let engine = 0; engine < engines; engine += 1) {
      fleet.crash(1);
      run(gapMs);
    }
  };
  const causes: Readonly<Record<Reason, () => void>> = {
    release: () => release(8, 50 + 400 * draw()),
    power: () => fleet.crashDomain(pickDomain()),
    resets: () => fleet.resetConnections(pickDomain()),
    suspended: () => {
      fleet.freeze(Math.floor(draw() * ENTRY_VMS), 3_000);
      release(6, 400);
    },
    // Requests with a new part that come at one moment, shortly before a failure domain ends.
    group: () => {
      groupPart = `group-${drawn}`;
      fleet.sendAtOnce(12);
      groupPart = undefined;
      run(STEP_MS);
      fleet.crashDomain(pickDomain());
    },
  };
  run(4_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    causes[reason]();
    run(2_000 + 3_000 * draw());
  }
  run(5_000);
  const { served, sent } = fleet.outcomes;
  return { longestBlockedMs, servedFraction: served / sent };
};

describe('engines that end for other reasons than their requests (LOST)', () => {
  it.each(SEEDS)('have no sound part or request blocked for long, seed %i', (seed) => {
    const reason = REASONS[seed % REASONS.length]!;
    const { longestBlockedMs, servedFraction } = runFleet(seed, reason);
    expect({ reason, isTooLong: longestBlockedMs > MAX_BLOCKED_MS }).toEqual({
      reason,
      isTooLong: false,
    });
    expect(servedFraction).toBeGreaterThan(0.8);
  });
});
