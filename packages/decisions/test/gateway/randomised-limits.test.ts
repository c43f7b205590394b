import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { describe, expect, it } from 'vitest';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
} from '../fixtures/gateway-fleet.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 10) }, (_, index) => index + 1);
const STEPS = 40;
const DOMAINS = ['a', 'b', 'c'];

/** Limits of requests per second that endpoints name. */
const LIMITS = [0, 0.5, 1, 1.3, 2, 5];

/** Longer than any request's deadline. */
const REST_MS = 16_000;

const drawCall = (uniform: number): FleetRequest => ({
  path: uniform < 0.5 ? '/balance/' : '/booking/',
  promptTokens: 0,
});

const drawGeneration = (uniform: number): FleetRequest =>
  uniform < 0.95
    ? { path: '/chat/', promptTokens: 5_000 }
    : { path: '/review/', promptTokens: 180_000 };

/**
 * Runs a fleet whose endpoints name and end limits, lose their registration and start anew while entry VMs and
 * their links fail at random.
 */
class RandomisedFleet {
  readonly fleet: GatewayFleet;

  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    const isPlain = this.draw(4) === 0;
    this.fleet = new GatewayFleet({
      seed,
      domains: DOMAINS,
      entryVmsPerDomain: 1 + this.draw(4),
      endpoints: isPlain ? createReplicas(4, DOMAINS) : createEngines(4 + this.draw(20), DOMAINS),
      requestsPerS: 30,
      drawRequest: isPlain ? drawCall : drawGeneration,
      waitsMs: 1_000 + this.draw(9_000),
      datagramLoss: this.draw(20) / 100,
    });
  }

  run(): void {
    for (let step = 0; step < STEPS; step += 1) {
      this.runRandomStep();
      this.fleet.run(this.draw(1_500));
    }
    this.fleet.changeLoad(0);
    this.fleet.run(REST_MS);
  }

  private draw(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  private drawEndpoints(): string[] {
    return this.fleet.endpoints.map(({ id }) => id).filter(() => this.draw(3) === 0);
  }

  private drawEndpoint(): string {
    const { endpoints } = this.fleet;
    return endpoints[this.draw(endpoints.length)]!.id;
  }

  private runRandomStep(): void {
    const { fleet } = this;
    const steps = [
      () => fleet.limit(this.drawEndpoints(), LIMITS[this.draw(LIMITS.length)]!),
      () => fleet.limit(fleet.listBusiest(3), LIMITS[this.draw(LIMITS.length)]!),
      () => fleet.endLimit(this.drawEndpoints()),
      () => fleet.kill(this.draw(fleet.vms.length), 500 + this.draw(4_000)),
      () => fleet.freeze(this.draw(fleet.vms.length), 200 + this.draw(4_000)),
      () => fleet.cut(DOMAINS[this.draw(DOMAINS.length)]!, 500 + this.draw(6_000)),
      () => fleet.changeLoad(5 + this.draw(80)),
      () => this.drawEndpoints().forEach((id) => fleet.lapse(id, 500 + this.draw(6_000))),
      () => fleet.listBusiest(3).forEach((id) => fleet.lapse(id, 500 + this.draw(6_000))),
      () => fleet.restart(this.drawEndpoint(), this.draw(500)),
    ];
    steps[this.draw(steps.length)]!();
  }
}

describe('randomised fleets whose endpoints name limits', () => {
  it.each(SEEDS)('keep to the limits and answer every request, seed %i', (seed) => {
    const randomised = new RandomisedFleet(seed);
    randomised.run();
    expect(randomised.fleet.violations).toEqual([]);
    expect(randomised.fleet.listUnanswered()).toEqual([]);
  });
});
