import { describe, expect, it } from 'vitest';
import { CrashMonitor } from '../fixtures/crash-monitor.js';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
} from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];
const HARMFUL = 'the harmful request';

/** Part that the harmful request shares with a sixtieth of the sound ones. */
const SHARED_PART = 'bb7';

interface HarmfulRun {
  readonly seed: number;
  readonly path: string;
  readonly harmfulFraction: number;
}

const findHarm = ({ fingerprint }: FleetRequest): string | undefined =>
  fingerprint === HARMFUL ? HARMFUL : undefined;

const isCounted = ({ path, sharedParts = [] }: FleetRequest): boolean =>
  path !== '/chat/' || sharedParts.includes(SHARED_PART);

/** Nine entry VMs; after five seconds a fraction of the requests is the same one, which does harm. */
const runFleet = ({ seed, path, harmfulFraction }: HarmfulRun): CrashMonitor => {
  const crashMonitor = new CrashMonitor({ decisiveCrash: 3 });
  let fraction = 0;
  let drawn = 0;
  const fleet = new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: 3,
    endpoints: [...createEngines(23, DOMAINS), ...createReplicas(6, DOMAINS)],
    requestsPerS: 35,
    drawRequest: (uniform) => {
      drawn += 1;
      const isHarmful = uniform < fraction;
      const promptTokens = path === '/chat/' ? 5_000 : 0;
      if (path !== '/chat/')
        return { path, promptTokens, ...(isHarmful ? { fingerprint: HARMFUL } : {}) };
      const part = isHarmful ? SHARED_PART : `bb${(drawn * 7) % 60}`;
      const sharedParts = [`aa${drawn % 6}`, part];
      return { path, promptTokens, sharedParts, ...(isHarmful ? { fingerprint: HARMFUL } : {}) };
    },
    findHarm,
    isCounted,
    crashMonitor,
  });
  fleet.run(5_000);
  fraction = harmfulFraction;
  fleet.run(90_000);
  return crashMonitor;
};

const RUNS: readonly HarmfulRun[] = [
  { seed: 1, path: '/chat/', harmfulFraction: 0.03 },
  { seed: 2, path: '/chat/', harmfulFraction: 0.3 },
  { seed: 3, path: '/balance/', harmfulFraction: 0.05 },
  { seed: 4, path: '/booking/', harmfulFraction: 0.05 },
];

describe('a request that crashes each engine which begins to run it (BUDGET)', () => {
  it.each(RUNS)('is not sent to engine after engine, %j', (run) => {
    const monitor = runFleet(run);
    expect(monitor.crashes).toBeGreaterThanOrEqual(3);
    expect(monitor.violations).toEqual([]);
  });

  it.each(RUNS)('stops no sound request that has something in common with it, %j', (run) => {
    const soundAfter = runFleet(run).countSoundAfter();
    expect(soundAfter.sent).toBeGreaterThanOrEqual(20);
    expect(soundAfter.begunAtFirstAttempt).toBeGreaterThan(soundAfter.sent / 2);
  });
});
