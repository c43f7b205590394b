import type { TeamDeclaration } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { TeamLimits } from '../../src/limits/team-limits.js';
import { createModelContract } from '../fixtures/contracts.js';

const ROUND_MS = 620;

type Limits = TeamDeclaration['limits'];

const createNodes = (limits: Limits, count: number, total = count): TeamLimits[] =>
  Array.from({ length: count }, () => {
    const team: TeamDeclaration = { id: 'counter', credentialSha256: [], weight: 1, limits };
    const node = new TeamLimits((id) => (id === 'counter' ? team : undefined));
    node.setEntryVmCounts({ total, local: count });
    return node;
  });

interface Traffic {
  /** Requests a second at each entry VM. */
  readonly rates: readonly number[];
  readonly seconds: number;
  readonly promptTokens?: number;
}

/**
 * Sends evenly spaced requests, exchanges the demands each round, and counts the admitted requests.
 */
const countAdmitted = (nodes: readonly TeamLimits[], traffic: Traffic): number => {
  const { rates, seconds, promptTokens = 100 } = traffic;
  const next = rates.map(() => 0);
  let admitted = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 1) {
    for (const [index, rate] of rates.entries()) {
      if (nowMs < (next[index] ?? 0)) continue;
      next[index] = (next[index] ?? 0) + 1_000 / rate;
      const requestId = `${index}-${nowMs}`;
      const contract = createModelContract({ requestId, promptTokens, maxOutputTokens: 100 });
      const waitMs = nodes[index]?.admit(contract, nowMs);
      if (waitMs !== 0) continue;
      admitted += 1;
      nodes[index]?.release(requestId);
    }
    if (nowMs % ROUND_MS !== 0) continue;
    const reported = nodes.map((node) => node.takeDemands(nowMs));
    nodes.forEach((node, to) =>
      reported.forEach((demands, from) => {
        if (from !== to) node.handleDemands(`entry-${from}`, demands, nowMs);
      }),
    );
  }
  return admitted;
};

describe('TeamLimits', () => {
  it('admits all requests of a team without limits', () => {
    const [node] = createNodes({}, 1);
    expect(node?.admit(createModelContract(), 0)).toBe(0);
  });

  it('overshoots by less than 5% in steady state, with even and uneven demand', () => {
    const limit = 30;
    [
      [40, 40, 40],
      [100, 10, 1],
      [100, 100, 0.1],
    ].forEach((rates) => {
      const admitted = countAdmitted(createNodes({ requestsPerS: limit }, 3), {
        rates,
        seconds: 120,
      });
      expect(admitted).toBeLessThan(limit * 120 * 1.05);
      expect(admitted).toBeGreaterThan(limit * 120 * 0.85);
    });
  });

  it('keeps tokens within their limit, large requests included', () => {
    const admitted = countAdmitted(createNodes({ tokensPerS: 10_000 }, 3), {
      rates: [5, 5, 5],
      seconds: 300,
      promptTokens: 4_900,
    });
    expect(admitted * 5_000).toBeLessThan(10_000 * 300 * 1.05);
    expect(admitted * 5_000).toBeGreaterThan(10_000 * 300 * 0.85);
  });

  it('keeps both sides of a network partition together within the limit', () => {
    const seconds = 120;
    const traffic = { rates: [50, 50, 50], seconds };
    const localAdmitted = countAdmitted(createNodes({ requestsPerS: 30 }, 3, 9), traffic);
    const remoteAdmitted = countAdmitted(createNodes({ requestsPerS: 30 }, 3, 9), traffic);
    expect(localAdmitted + remoteAdmitted).toBeLessThan(30 * seconds * (6 / 9) * 1.05);
  });

  it('limits memory in use, and releases it only once', () => {
    const [node] = createNodes({ memoryTokens: 3_000 }, 1);
    const admit = (requestId: string) =>
      node?.admit(createModelContract({ requestId, promptTokens: 1_400, maxOutputTokens: 100 }), 0);
    expect([admit('a'), admit('b')]).toEqual([0, 0]);
    expect(admit('c')).toBeGreaterThan(0);
    node?.release('a');
    node?.release('a');
    expect(admit('c')).toBe(0);
    expect(admit('d')).toBeGreaterThan(0);
  });
});
