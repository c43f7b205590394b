import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { describe, expect, it } from 'vitest';
import { createEngines, createReplicas, GatewayFleet } from '../fixtures/gateway-fleet.js';
import type { PathCutKind } from '../fixtures/path-cuts.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 20) }, (_, index) => index + 1);

const DOMAINS = ['a', 'b', 'c'];
const ENTRY_VMS_PER_DOMAIN = 3;
const ENTRY_VMS = ENTRY_VMS_PER_DOMAIN * DOMAINS.length;
const KINDS: readonly PathCutKind[] = ['silent', 'reset', 'refused'];
const MAX_ATTEMPTS = 2;

/** Longer than any caller waits. */
const SETTLING_MS = 15_000;

/** Runs a fleet whose entry VMs lose their paths to all endpoints, beside other faults. */
const runFleet = (seed: number): GatewayFleet => {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(draw() * values.length)]!;
  const fleet = new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: ENTRY_VMS_PER_DOMAIN,
    endpoints: [...createEngines(22, DOMAINS), ...createReplicas(3, DOMAINS)],
    requestsPerS: 40,
    drawRequest: (uniform) => {
      if (uniform < 0.6) return { path: '/chat/', promptTokens: 5_000 };
      if (uniform < 0.7) return { path: '/review/', promptTokens: 60_000 };
      return { path: uniform < 0.85 ? '/balance/' : '/booking/', promptTokens: 0 };
    },
    datagramLoss: 0.02,
  });
  fleet.run(4_000);
  for (let step = 0; step < 12; step += 1) {
    const share = draw();
    const cut = fleet.vmIds.filter(() => draw() < share);
    const faults: readonly (() => void)[] = [
      () => fleet.cutPaths(cut, pick(KINDS), 500 + 5_000 * draw()),
      () => fleet.cutPaths(cut, pick(KINDS), 500 + 5_000 * draw()),
      () => fleet.kill(Math.floor(draw() * ENTRY_VMS), 500 + 2_000 * draw()),
      () => fleet.freeze(Math.floor(draw() * ENTRY_VMS), 500 + 3_000 * draw()),
      () => fleet.crash(1 + Math.floor(draw() * 4)),
      () => fleet.cut(pick(DOMAINS), 500 + 2_000 * draw()),
    ];
    pick(faults)();
    fleet.run(500 + 2_500 * draw());
  }
  fleet.changeLoad(0);
  fleet.run(SETTLING_MS);
  return fleet;
};

describe('entry VMs that lose their paths again and again', () => {
  it.each(SEEDS)('keep what callers are promised, seed %i', (seed) => {
    const fleet = runFleet(seed);
    const countRuns = (requestId: string): number => fleet.executions.get(requestId) ?? 0;
    const { finals } = fleet;
    expect(fleet.forwards.length).toBeGreaterThan(0);
    expect(fleet.listUnanswered()).toEqual([]);
    expect(fleet.secondHops).toEqual([]);
    const ranThoughRefused = finals.filter((item) => item.isPromise && countRuns(item.requestId));
    expect(ranThoughRefused).toEqual([]);
    const maxRuns = (path: string): number => (path === '/booking/' ? 1 : MAX_ATTEMPTS);
    const ranTooOften = finals.filter((item) => countRuns(item.requestId) > maxRuns(item.path));
    expect(ranTooOften).toEqual([]);
    const servable = finals.filter(({ isServable }) => isServable);
    const served = servable.filter(({ isServed }) => isServed).length;
    expect(served).toBeGreaterThan((2 / 3) * servable.length);
  });
});
