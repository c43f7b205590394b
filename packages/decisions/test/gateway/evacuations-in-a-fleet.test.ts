import { beforeEach, describe, expect, it } from 'vitest';
import { createEngines, createReplicas, GatewayFleet } from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];

/** Two thirds of what the engines of two domains serve in time. */
const REQUESTS_PER_S = 24;

/** The bound of the test: half of the tightest one that a deployment has named. */
const BOUND_MS = 2_500;

/** Time of a request on the way to its endpoint, and more. */
const ON_THE_WAY_MS = 5;

/** Entry VM that does not reach the store. */
const CUT_OFF = 'entry-b-2';

/** Index of the entry VM that is killed just before the evacuation and starts again during it. */
const KILLED = 4;

const DRAIN_MS = 15_000;

let fleet: GatewayFleet;

const createFleet = (seed: number): GatewayFleet =>
  new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: 3,
    endpoints: [...createEngines(18, DOMAINS), ...createReplicas(3, DOMAINS)],
    requestsPerS: REQUESTS_PER_S,
    drawRequest: (uniform) =>
      uniform < 0.2
        ? { path: '/booking/', promptTokens: 0 }
        : { path: '/chat/', promptTokens: 4_000 },
  });

/** Delays by which entry VMs learn of a change, spread over the bound. */
const findDelayMs = (vm: string): number | undefined =>
  vm === CUT_OFF ? undefined : (BOUND_MS * (fleet.vmIds.indexOf(vm) + 1)) / fleet.vms.length;

const learnAtOnce = (): number => 0;

/** Lists the entry VMs that have sent something to a domain, once for each time. */
const listArrivals = (domain: string, fromMs: number): string[] =>
  fleet.domainArrivals
    .filter((arrival) => arrival.domain === domain && arrival.atMs >= fromMs)
    .map(({ vm }) => vm);

const finish = (): void => {
  fleet.changeLoad(Number.MIN_VALUE);
  fleet.run(DRAIN_MS);
};

describe.each([1, 2, 3])('the evacuation of a failure domain under load, seed %i', (seed) => {
  beforeEach(() => {
    fleet = createFleet(seed);
    fleet.run(4_000);
  });

  it('binds each entry VM from when it learns of it, also one that starts meanwhile', () => {
    const startMs = fleet.nowMs;
    fleet.kill(KILLED, 700);
    fleet.changeEvacuation('a', true, findDelayMs);
    fleet.run(8_000);
    const late = fleet.domainArrivals.filter(
      ({ domain, vm, atMs }) =>
        domain === 'a' && vm !== CUT_OFF && atMs > startMs + (findDelayMs(vm) ?? 0) + ON_THE_WAY_MS,
    );
    expect(late).toEqual([]);
    expect(listArrivals('a', 0).length).toBeGreaterThan(0);
  });

  it('costs no request, and none waits for the domain', () => {
    const { refused } = fleet.outcomes;
    fleet.changeEvacuation('a', true, findDelayMs);
    fleet.run(8_000);
    finish();
    expect(fleet.listUnanswered()).toEqual([]);
    expect(fleet.outcomes.refused).toBe(refused);
    expect(fleet.outcomes.served).toBe(fleet.outcomes.sent);
  });

  it('has entry VMs of the domain serve their callers from the others', () => {
    fleet.changeEvacuation('a', true, learnAtOnce);
    fleet.run(5_000);
    const served = fleet.finals.filter(({ vm, isServed }) => isServed && vm.startsWith('entry-a'));
    expect(served.filter(({ sentAtMs }) => sentAtMs > 4_000).length).toBeGreaterThan(5);
  });

  it('of a second one at the same time, and of the last one, has all requests refused at once', () => {
    fleet.changeEvacuation('a', true, learnAtOnce);
    fleet.changeEvacuation('b', true, learnAtOnce);
    fleet.run(3_000);
    const allMs = fleet.nowMs;
    expect(listArrivals('b', 4_000 + ON_THE_WAY_MS)).toEqual([]);
    fleet.changeEvacuation('c', true, learnAtOnce);
    fleet.run(3_000);
    finish();
    const later = fleet.finals.filter(({ sentAtMs }) => sentAtMs > allMs + ON_THE_WAY_MS);
    expect(later.length).toBeGreaterThan(20);
    expect(later.every(({ isServed, isPromise }) => !isServed && isPromise)).toBe(true);
    expect(fleet.domainArrivals.filter(({ atMs }) => atMs > allMs + ON_THE_WAY_MS)).toEqual([]);
    expect(fleet.listUnanswered()).toEqual([]);
  });

  it('ends with requests there again', () => {
    fleet.changeEvacuation('a', true, learnAtOnce);
    fleet.run(3_000);
    fleet.changeEvacuation('a', false, learnAtOnce);
    const endMs = fleet.nowMs;
    fleet.run(3_000);
    expect(listArrivals('a', endMs).length).toBeGreaterThan(0);
  });
});
