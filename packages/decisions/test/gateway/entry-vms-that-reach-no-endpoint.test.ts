import { describe, expect, it } from 'vitest';
import { createEngines, createReplicas, GatewayFleet } from '../fixtures/gateway-fleet.js';
import type { PathCutKind } from '../fixtures/path-cuts.js';

/** Guards against RECOVER: entry VMs that reached no endpoint refused their callers. */

const DOMAINS = ['a', 'b', 'c'];
const CUT_AT_MS = 4_000;
const CUT_MS = 6_000;

/** The tightest bound of all sites for the time from the begin of a cut, and half of it. */
const BOUNDS_MS = [3_000, 1_500];

const KINDS: readonly PathCutKind[] = ['silent', 'reset', 'refused'];

interface Selection {
  readonly name: string;
  readonly select: (vmIds: readonly string[]) => readonly string[];
}

const SELECTIONS: readonly Selection[] = [
  { name: 'one entry VM', select: (ids) => ids.slice(0, 1) },
  { name: 'all entry VMs of a domain', select: (ids) => ids.filter((id) => id.includes('-a-')) },
  { name: 'six of nine entry VMs', select: (ids) => ids.filter((id) => !id.endsWith('-2')) },
  { name: 'all entry VMs but one', select: (ids) => ids.slice(1) },
];

const createFleet = (seed: number): GatewayFleet =>
  new GatewayFleet({
    seed,
    domains: DOMAINS,
    entryVmsPerDomain: 3,
    endpoints: [...createEngines(22, DOMAINS), ...createReplicas(3, DOMAINS)],
    requestsPerS: 40,
    drawRequest: (uniform) => {
      if (uniform < 0.75) return { path: '/chat/', promptTokens: 5_000 };
      if (uniform < 0.85) return { path: '/review/', promptTokens: 60_000 };
      return { path: uniform < 0.93 ? '/balance/' : '/booking/', promptTokens: 0 };
    },
  });

interface Shares {
  readonly cut: number;
  readonly others: number;
  readonly failed: number;
  readonly total: number;
}

/** Counts how often first attempts were served that callers sent in a part of the cut. */
const countServed = (fleet: GatewayFleet, cut: readonly string[], fromMs: number): Shares => {
  const sent = fleet.finals.filter(
    ({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < CUT_AT_MS + CUT_MS,
  );
  const measure = (isCut: boolean): number => {
    const group = sent.filter(({ vm }) => cut.includes(vm) === isCut);
    return group.filter(({ isServed }) => isServed).length / group.length;
  };
  const failed = sent.filter(({ vm, isServed }) => cut.includes(vm) && !isServed).length;
  return { cut: measure(true), others: measure(false), failed, total: sent.length };
};

describe.each(SELECTIONS)('$name without a path to any endpoint (RECOVER)', ({ select }) => {
  it.each(KINDS)('serve requests as often as the others do, connections %s', (kind) => {
    const fleet = createFleet(7);
    const cut = select(fleet.vmIds);
    fleet.run(CUT_AT_MS);
    fleet.cutPaths(cut, kind, CUT_MS);
    fleet.run(CUT_MS + 15_000);
    BOUNDS_MS.forEach((boundMs) => {
      const { cut: cutShare, others, failed, total } = countServed(fleet, cut, CUT_AT_MS + boundMs);
      expect(cutShare).toBeGreaterThan((2 / 3) * others);
      expect(failed).toBeLessThanOrEqual(10 + total / 50);
    });
  });
});
