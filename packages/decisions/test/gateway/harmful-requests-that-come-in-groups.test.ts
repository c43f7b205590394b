import { describe, expect, it } from 'vitest';
import { CrashMonitor } from '../fixtures/crash-monitor.js';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
} from '../fixtures/gateway-fleet.js';

const DOMAINS = ['a', 'b', 'c'];
const HARMFUL = 'bad0';

/** Time between two groups, and their number. */
const GROUP_INTERVAL_MS = 5_000;
const GROUPS = 12;

/** Parts of sound requests besides the first one, which is the same in all. */
const SECOND_PARTS = 60;

interface GroupRun {
  readonly seed: number;
  /** A part, no two requests alike; or the same request of a service whose calls may not run twice. */
  readonly kind: 'part' | 'call';
  /** Requests that are sent at the same moment. */
  readonly group: number;
  readonly engines: number;
}

const findHarm = ({ sharedParts = [], fingerprint }: FleetRequest): string | undefined =>
  sharedParts.includes(HARMFUL) || fingerprint === HARMFUL ? HARMFUL : undefined;

/** Nine entry VMs, to which harmful requests come in groups beside sound ones that come one by one. */
const runFleet = ({ seed, kind, group, engines }: GroupRun): CrashMonitor => {
  const crashMonitor = new CrashMonitor({ decisiveCrash: kind === 'part' ? 5 : 3 });
  let isHarmful = false;
  const fleet = new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: 3,
    endpoints: [...createEngines(engines, DOMAINS), ...createReplicas(engines, DOMAINS)],
    requestsPerS: 10,
    drawRequest: (uniform) => {
      if (kind === 'call') {
        const call = { path: '/booking/', promptTokens: 0 };
        return isHarmful ? { ...call, fingerprint: HARMFUL } : call;
      }
      const second = isHarmful ? HARMFUL : `bb${Math.floor(uniform * SECOND_PARTS)}`;
      return { path: '/chat/', promptTokens: 5_000, sharedParts: ['aa', second] };
    },
    findHarm,
    crashMonitor,
  });
  fleet.run(5_000);
  for (let sent = 0; sent < GROUPS; sent += 1) {
    isHarmful = true;
    fleet.sendAtOnce(group);
    isHarmful = false;
    fleet.run(GROUP_INTERVAL_MS);
  }
  return crashMonitor;
};

const RUNS: readonly GroupRun[] = [
  { seed: 1, kind: 'part', group: 5, engines: 8 },
  { seed: 2, kind: 'part', group: 5, engines: 23 },
  { seed: 3, kind: 'part', group: 10, engines: 23 },
  { seed: 4, kind: 'call', group: 3, engines: 8 },
  { seed: 5, kind: 'call', group: 5, engines: 8 },
];

describe('harmful requests that come in groups, each at one moment (BUDGET, LOST)', () => {
  it.each(RUNS)('end few engines, %j', (run) => {
    const monitor = runFleet(run);
    expect(monitor.crashes).toBeGreaterThanOrEqual(3);
    expect(monitor.violations).toEqual([]);
  });

  it.each(RUNS)('stop no sound request, %j', (run) => {
    const { sent, begunAtFirstAttempt } = runFleet(run).countSoundAfter();
    expect(sent).toBeGreaterThan(20);
    expect(begunAtFirstAttempt).toBeGreaterThan(sent / 2);
  });
});
