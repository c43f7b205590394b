import { describe, expect, it } from 'vitest';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
  type GatewayFleetOptions,
} from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];

/** Target latency of the route `/review/` in the test configuration. */
const REVIEW_TARGET_MS = 3_000;

const createFleet = (changes: Partial<GatewayFleetOptions> = {}): GatewayFleet =>
  new GatewayFleet({
    seed: 1,
    domains: DOMAINS,
    entryVmsPerDomain: 3,
    endpoints: createEngines(23, DOMAINS),
    requestsPerS: 35,
    drawRequest: () => ({ path: '/chat/', promptTokens: 5_000 }),
    ...changes,
  });

const listEndpoints = (fleet: GatewayFleet): string[] => fleet.endpoints.map(({ id }) => id);

/** Runs a fleet, and measures the requests per second that each of several endpoints gets on average. */
const measureRate = (
  fleet: GatewayFleet,
  endpoints: readonly string[],
  durationMs: number,
): number => {
  const countArrivals = (): number =>
    endpoints.reduce((sum, id) => sum + (fleet.arrivals.get(id) ?? 0), 0);
  const before = countArrivals();
  fleet.run(durationMs);
  return ((countArrivals() - before) * 1_000) / durationMs / endpoints.length;
};

/** Makes all endpoints of a fleet name a limit, and waits until all entry VMs know it. */
const limitAll = (fleet: GatewayFleet, perSecond: number): void => {
  fleet.run(8_000);
  fleet.limit(listEndpoints(fleet), perSecond);
  fleet.run(3_000);
};

describe('an engine that has named a limit of requests per second (LIMIT)', () => {
  it('does not get more than it allows from nine entry VMs together', () => {
    const fleet = createFleet();
    fleet.run(8_000);
    fleet.limit(fleet.listBusiest(3), 1);
    fleet.run(22_000);
    expect(fleet.outcomes.served).toBeGreaterThan(700);
    expect(fleet.violations).toEqual([]);
  });

  it.each([0.3, 1, 1.3, 4])('gets what it allows if all engines name %d', (perSecond) => {
    const fleet = createFleet({ requestsPerS: Math.max(35, 25 * perSecond) });
    limitAll(fleet, perSecond);
    const rate = measureRate(fleet, listEndpoints(fleet), 20_000);
    expect(rate).toBeGreaterThan(0.85 * perSecond);
    expect(rate).toBeLessThan(1.05 * perSecond);
    expect(fleet.violations).toEqual([]);
  });

  it('that takes none gets one now and then, so that the end of the limit is seen', () => {
    const fleet = createFleet();
    limitAll(fleet, 0);
    expect(measureRate(fleet, listEndpoints(fleet), 20_000)).toBeLessThanOrEqual(0.3);
    expect(fleet.violations).toEqual([]);
    fleet.endLimit(listEndpoints(fleet));
    fleet.run(6_000);
    const { served, sent } = { ...fleet.outcomes };
    fleet.run(10_000);
    expect(fleet.outcomes.served - served).toBeGreaterThan(0.95 * (fleet.outcomes.sent - sent));
  });

  it('does not make long prompts late if half of the engines name one', () => {
    const drawRequest = (uniform: number): FleetRequest =>
      uniform < 0.975
        ? { path: '/chat/', promptTokens: 5_000 }
        : { path: '/review/', promptTokens: 182_000 };
    const fleet = createFleet({ requestsPerS: 38, drawRequest });
    fleet.run(8_000);
    fleet.limit(fleet.listBusiest(12), 1);
    fleet.run(40_000);
    const reviews = fleet.firstAttempts.filter(({ path }) => path === '/review/');
    const onTime = reviews.filter(({ firstEventMs }) => firstEventMs <= REVIEW_TARGET_MS);
    expect(reviews.length).toBeGreaterThan(20);
    expect(onTime.length).toBeGreaterThan(0.8 * reviews.length);
    expect(fleet.violations).toEqual([]);
  });

  it.each(['/balance/', '/booking/'])('may be a replica of a plain service, %s', (path) => {
    const endpoints = createReplicas(3, DOMAINS);
    const drawRequest = (): FleetRequest => ({ path, promptTokens: 0 });
    const fleet = createFleet({ endpoints, drawRequest, requestsPerS: 5, waitsMs: 2_500 });
    limitAll(fleet, 2);
    fleet.run(20_000);
    expect(fleet.outcomes.served).toBeGreaterThan(0.9 * fleet.outcomes.sent);
    expect(fleet.violations).toEqual([]);
  });

  it('is used as before once its responses no longer name the limit', () => {
    const fleet = createFleet({ requestsPerS: 60 });
    limitAll(fleet, 1);
    fleet.run(5_000);
    fleet.endLimit(listEndpoints(fleet));
    fleet.run(3_000);
    const before = { ...fleet.outcomes };
    fleet.run(10_000);
    expect(fleet.outcomes.refused).toBe(before.refused);
  });

  it('does not get more than it allows if every fifth datagram is lost', () => {
    const fleet = createFleet({ datagramLoss: 0.2 });
    limitAll(fleet, 1);
    expect(measureRate(fleet, listEndpoints(fleet), 20_000)).toBeGreaterThan(0.7);
    expect(fleet.violations).toEqual([]);
  });

  it('does not get more than it allows while entry VMs are killed in turn', () => {
    const fleet = createFleet();
    limitAll(fleet, 1);
    fleet.vms.forEach((_vm, index) => {
      fleet.kill(index, 3_000);
      fleet.run(1_500);
    });
    expect(measureRate(fleet, listEndpoints(fleet), 20_000)).toBeGreaterThan(0.85);
    expect(fleet.violations).toEqual([]);
  });

  it('does not get more than it allows while entry VMs are frozen in turn', () => {
    const fleet = createFleet();
    limitAll(fleet, 1);
    fleet.vms.forEach((_vm, index) => {
      fleet.freeze(index, 3_000);
      fleet.run(1_500);
    });
    fleet.run(10_000);
    expect(fleet.violations).toEqual([]);
  });

  it('does not get more than it allows from both sides of a partition', () => {
    const fleet = createFleet();
    limitAll(fleet, 2);
    fleet.cut('a', 8_000);
    fleet.run(20_000);
    expect(fleet.violations).toEqual([]);
  });

  it('in a failure domain without entry VMs does not get more than it allows', () => {
    const fleet = createFleet({ endpoints: createEngines(6, ['x']) });
    limitAll(fleet, 2);
    fleet.cut('a', 8_000);
    expect(measureRate(fleet, listEndpoints(fleet), 20_000)).toBeGreaterThan(1);
    expect(fleet.violations).toEqual([]);
  });

  it('does not get more than it allows from 88 entry VMs', () => {
    const domains = ['a', 'b', 'c', 'd'];
    const endpoints = createEngines(78, domains);
    const fleet = createFleet({ domains, entryVmsPerDomain: 22, endpoints, requestsPerS: 106 });
    limitAll(fleet, 1);
    expect(measureRate(fleet, listEndpoints(fleet), 5_000)).toBeGreaterThan(0.85);
    expect(fleet.violations).toEqual([]);
  });
});
