import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { describe, expect, it } from 'vitest';
import { COLD_DOMAINS, createColdFleet, type ColdFleet } from '../fixtures/cold-fleets.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 3) }, (_, index) => index + 1);
const STEPS = 12;

/** Longer than any request's deadline. */
const REST_MS = 5_000;

/** Runs a fleet whose endpoints come back cold while entry VMs and their links fail at random. */
class RandomisedColdFleet {
  readonly cold: ColdFleet;

  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    this.cold = createColdFleet({
      seed,
      datagramLoss: this.draw(20) / 100,
      requestsPerS: 90,
      waitsMs: 3_000,
    });
  }

  run(): void {
    const { fleet } = this.cold;
    fleet.run(2_500);
    for (let step = 0; step < STEPS; step += 1) {
      this.runRandomStep();
      fleet.run(this.draw(800));
    }
    fleet.changeLoad(0);
    fleet.run(REST_MS);
  }

  private draw(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  private returnCold(ids: readonly string[]): void {
    const downMs = 600 + this.draw(2_000);
    this.cold.fleet.returnCold(ids, {
      downMs,
      coldMs: 1_000 + this.draw(3_000),
      spreadMs: 1 + this.draw(500),
    });
  }

  private runRandomStep(): void {
    const { fleet } = this.cold;
    const { endpoints, vms } = fleet;
    const domain = COLD_DOMAINS[this.draw(COLD_DOMAINS.length)]!;
    const ids = endpoints.filter((endpoint) => endpoint.failureDomain === domain);
    const steps = [
      () => this.returnCold([endpoints[this.draw(endpoints.length)]!.id]),
      () => this.returnCold(ids.map(({ id }) => id)),
      () => fleet.kill(this.draw(vms.length), 200 + this.draw(3_000)),
      () => vms.forEach((_, vm) => this.draw(3) === 0 && fleet.kill(vm, 200 + this.draw(2_000))),
      () => fleet.freeze(this.draw(vms.length), 200 + this.draw(3_000)),
      () => fleet.cut(domain, 500 + this.draw(5_000)),
      () => fleet.changeLoad(20 + this.draw(300)),
      () => fleet.sendAtOnce(this.draw(150)),
    ];
    steps[this.draw(steps.length)]!();
  }
}

describe('randomised fleets of 72 entry VMs whose endpoints come back cold', () => {
  it.each(SEEDS)('keep to what a cold endpoint takes, seed %i', (seed) => {
    const randomised = new RandomisedColdFleet(seed);
    randomised.run();
    const { fleet, monitor } = randomised.cold;
    expect(monitor.violations).toEqual([]);
    expect(fleet.listUnanswered()).toEqual([]);
  });
});
