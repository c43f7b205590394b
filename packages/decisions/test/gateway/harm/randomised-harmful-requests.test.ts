import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { describe, expect, it } from 'vitest';
import { CrashMonitor } from '../../fixtures/crash-monitor.js';
import {
  createEngines,
  createReplicas,
  GatewayFleet,
  type FleetRequest,
} from '../../fixtures/gateway-fleet.js';

/** The number of seeds can be raised for long runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 20) }, (_, index) => index + 1);

const DOMAINS = ['a', 'b', 'c'];
const HARMFUL_PART = 'bad0';
const HARMFUL_REQUEST = 'the harmful request';
const FIRST_PARTS = 6;
const SECOND_PARTS = 60;
const ENTRY_VMS = 9;

/** What does harm: a part, a part whose callers repeat each request, or one request that comes again. */
const KINDS = ['part', 'repeatedPart', 'request', 'call'] as const;

/** Time from the first event of a harmful stream to the crash; the engine crashes before it if there is none. */
const CRASH_DELAYS_MS = [undefined, 0, 5, 150, 450] as const;

/** The generator's first numbers are nearly the same for all small seeds. */
const FIRST_DRAWS = 16;

type Kind = (typeof KINDS)[number];

const DECISIVE_CRASH: Readonly<Record<Kind, number>> = {
  part: 5,
  repeatedPart: 5,
  request: 3,
  call: 3,
};

const findHarm = ({ sharedParts = [], fingerprint }: FleetRequest): string | undefined => {
  if (sharedParts.includes(HARMFUL_PART)) return HARMFUL_PART;
  return fingerprint === HARMFUL_REQUEST ? HARMFUL_REQUEST : undefined;
};

/** Runs a fleet with harmful requests of one kind, beside faults that have nothing to do with them. */
const runFleet = (seed: number): { readonly kind: Kind; readonly monitor: CrashMonitor } => {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(draw() * values.length)]!;
  for (let skipped = 0; skipped < FIRST_DRAWS; skipped += 1) draw();
  const kind = KINDS[seed % KINDS.length]!;
  const harmfulFraction = 0.01 + 0.3 * draw() ** 2;
  const monitor = new CrashMonitor({ decisiveCrash: DECISIVE_CRASH[kind] });
  const crashDelayMs = CRASH_DELAYS_MS[Math.floor(seed / KINDS.length) % CRASH_DELAYS_MS.length];
  let hasBegun = false;
  let harmful = 0;

  const describeHarmful = (): Partial<FleetRequest> => {
    harmful += 1;
    if (kind === 'request' || kind === 'call') return { fingerprint: HARMFUL_REQUEST };
    const sharedParts = [`aa${Math.floor(draw() * FIRST_PARTS)}`, HARMFUL_PART];
    // Each request comes three times.
    const fingerprint = `harmful-${Math.floor(harmful / 3)}`;
    return kind === 'part' ? { sharedParts } : { sharedParts, fingerprint };
  };

  const drawRequest = (uniform: number): FleetRequest => {
    const isCall = kind === 'call' && draw() < 0.5;
    const sharedParts = isCall
      ? []
      : [`aa${Math.floor(draw() * FIRST_PARTS)}`, `bb${Math.floor(draw() * SECOND_PARTS)}`];
    const sound = isCall
      ? { path: '/balance/', promptTokens: 0 }
      : { path: '/chat/', promptTokens: 5_000, sharedParts };
    const mayHarm = hasBegun && (kind !== 'call' || isCall);
    return mayHarm && uniform < harmfulFraction ? { ...sound, ...describeHarmful() } : sound;
  };

  const fleet = new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: ENTRY_VMS / DOMAINS.length,
    endpoints: [...createEngines(23, DOMAINS), ...createReplicas(6, DOMAINS)],
    requestsPerS: 40,
    drawRequest,
    findHarm,
    crashMonitor: monitor,
    ...(crashDelayMs === undefined ? {} : { crashDelayMs }),
    datagramLoss: 0.02,
  });
  fleet.run(4_000);
  hasBegun = true;
  for (let step = 0; step < 10; step += 1) {
    fleet.run(1_000 + 4_000 * draw());
    const faults: readonly (() => void)[] = [
      () => {},
      () => fleet.kill(Math.floor(draw() * ENTRY_VMS), 500 + 2_000 * draw()),
      () => fleet.freeze(Math.floor(draw() * ENTRY_VMS), 500 + 3_000 * draw()),
      () => fleet.crash(1 + Math.floor(draw() * 4)),
    ];
    pick(faults)();
  }
  fleet.run(10_000);
  return { kind, monitor };
};

describe('harmful requests beside faults of other causes', () => {
  it.each(SEEDS)('end few engines, and stop no sound requests, seed %i', (seed) => {
    const { kind, monitor } = runFleet(seed);
    const { sent, begunAtFirstAttempt } = monitor.countSoundAfter();
    expect({ kind, violations: monitor.violations }).toEqual({ kind, violations: [] });
    expect(begunAtFirstAttempt).toBeGreaterThanOrEqual(sent / 2);
  });
});
