import { DEFAULT_ROUTER } from '@savorywind/decisions';
import { describe, expect, it } from 'vitest';
import { listFirstTokensMs, runSessions } from '../src/experiments/kept-prefixes.js';
import {
  SessionWorkload,
  type SessionRequestKind,
} from '../src/experiments/workload/session-workload.js';
import { deployments } from '../src/experiments/workload/deployments.js';

const OPTIONS = { seed: 1, seeds: 1, minutes: 1, deployment: 'stuhlwerk' };

const CASE = { path: 'sameVm', memoryTokens: 400_000, rate: 1 } as const;

const OFF = { router: DEFAULT_ROUTER };

const ON = { router: DEFAULT_ROUTER, prefixRetention: { maxAgeMs: 600_000 } };

const measureMean = (variant: typeof OFF, kind: SessionRequestKind): number => {
  const [run] = runSessions(OPTIONS, CASE, variant);
  const requestClass = { title: kind, kind, minTokens: 0, maxTokens: Infinity };
  const times = listFirstTokensMs(run?.report.results ?? [], requestClass);
  return times.reduce((sum, time) => sum + time, 0) / times.length;
};

describe('retained prefixes in a simulated fleet', () => {
  it('gives the later prompts of sessions their first token sooner', () => {
    expect(measureMean(ON, 'next')).toBeLessThan(measureMean(OFF, 'next'));
  });

  it('does not make single short requests slower', () => {
    expect(measureMean(ON, 'single')).toBeLessThanOrEqual(measureMean(OFF, 'single'));
  });
});

describe('SessionWorkload', () => {
  it('lets each prompt of a session begin with the one before', () => {
    const settings = { deployment: deployments.stuhlwerk, durationMs: 60_000, seed: 1 };
    const rates = { sessionsPerS: 1, hotPerS: 0, singlesPerS: 0 };
    const requests = new SessionWorkload({ ...settings, ...rates, path: 'sameVm' }).listRequests();
    const byLast = new Map<string | undefined, readonly string[]>();
    const prompts = requests.flatMap(({ contract }) =>
      contract.kind === 'model' ? [contract] : [],
    );
    prompts.forEach(({ prefixDigests }) => byLast.set(prefixDigests.at(-1), prefixDigests));
    const later = prompts.filter(({ requestId }) => requestId.startsWith('next'));
    expect(later.length).toBeGreaterThan(20);
    later.forEach(({ prefixDigests }) => {
      const before = prefixDigests.slice(0, -2);
      expect(byLast.get(before.at(-1))).toEqual(before);
    });
  });
});
