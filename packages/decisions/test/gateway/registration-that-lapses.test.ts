import type { GatewayEndpoint, WorkSnapshot } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { EndpointNotice } from '../../src/gateway/types.js';
import { createPeers } from '../fixtures/fleet-driver.js';
import { createEndpoint, startDriver, type GatewayDriver } from '../fixtures/gateway-driver.js';
import { createEngines, GatewayFleet } from '../fixtures/gateway-fleet.js';

/**
 * Guards against LIMIT, DRAIN and BUDGET: what an engine had said was forgotten when its registration went
 * for some seconds and came back for the same process.
 */

const LAPSE_MS = 3_000;

/** The time in which endpoints write again what an older copy of the store lacks, in the test contract. */
const REWRITE_MS = 2_300;

const change = (driver: GatewayDriver, id: string, endpoint: GatewayEndpoint | undefined): void =>
  driver.dispatch({ kind: 'endpoints.changed', changes: [{ id, endpoint }] });

/** Has the registration of an endpoint go, and come back for a process that started at a given time. */
const lapse = (
  driver: GatewayDriver,
  id: string,
  { ms = LAPSE_MS, startedAtMs = 1 }: { ms?: number; startedAtMs?: number } = {},
): void => {
  change(driver, id, undefined);
  driver.advance(ms);
  driver.confirm();
  change(driver, id, createEndpoint(id, { startedAtMs }));
};

/** Has an endpoint name a limit in the response to a request. */
const limit = (driver: GatewayDriver, perSecond: number): void => {
  const { attemptId } = driver.findAttempt(driver.request('/chat/'))!;
  driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: perSecond });
  driver.dispatch({ kind: 'attempt.ended', attemptId });
};

/** Whether a request starts at the engine at once, as only one without a limit gets it. */
const isUnlimited = (driver: GatewayDriver): boolean =>
  driver.findAttempt(driver.request('/chat/')) !== undefined;

describe('the limit of an engine whose registration lapses', () => {
  it('holds for the same process when it is back', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    lapse(driver, 'e1');
    expect(isUnlimited(driver)).toBe(false);
  });

  it('holds where all registrations are read again', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    driver.dispatch({ kind: 'endpoints.read', endpoints: [] });
    driver.advance(LAPSE_MS);
    driver.dispatch({ kind: 'endpoints.read', endpoints: [createEndpoint('e1')] });
    expect(isUnlimited(driver)).toBe(false);
  });

  it('holds where an older copy of the store lacks the registration for too long', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    driver.dispatch({ kind: 'store.eraRaised', previousEra: 1, era: 2 });
    driver.dispatch({ kind: 'endpoints.read', endpoints: [] });
    driver.advance(REWRITE_MS + 100);
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
    change(driver, 'e1', createEndpoint('e1'));
    expect(isUnlimited(driver)).toBe(false);
  });

  it('holds where an older copy still has the process before it', () => {
    const driver = startDriver();
    change(driver, 'e1', createEndpoint('e1', { startedAtMs: 5 }));
    limit(driver, 1);
    change(driver, 'e1', undefined);
    driver.dispatch({ kind: 'store.eraRaised', previousEra: 1, era: 2 });
    driver.dispatch({ kind: 'endpoints.read', endpoints: [createEndpoint('e1')] });
    driver.advance(LAPSE_MS);
    change(driver, 'e1', createEndpoint('e1', { startedAtMs: 5 }));
    expect(isUnlimited(driver)).toBe(false);
  });

  it('does not pass to the next process under the id', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    lapse(driver, 'e1', { startedAtMs: 2 });
    expect(isUnlimited(driver)).toBe(true);
  });

  it('does not pass to another engine that gets its address', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    change(driver, 'e1', undefined);
    change(driver, 'e2', createEndpoint('e2'));
    expect(isUnlimited(driver)).toBe(true);
  });

  it('ends with the registration if the start of its process is not known', () => {
    const driver = startDriver();
    const endpoint = createEndpoint('e1', { startedAtMs: undefined });
    change(driver, 'e1', endpoint);
    limit(driver, 1);
    change(driver, 'e1', undefined);
    change(driver, 'e1', endpoint);
    expect(isUnlimited(driver)).toBe(true);
  });

  it('is not counted as that of an endpoint while the registration is gone', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    change(driver, 'e1', undefined);
    expect(driver.limitUsage.limitedEndpoints).toBe(0);
    change(driver, 'e1', createEndpoint('e1'));
    expect(driver.limitUsage.limitedEndpoints).toBe(1);
  });

  it.each([
    [1, 0],
    [2, 0],
    [3, 0],
    [1, 2_000],
    [2, 2_000],
    [3, 2_000],
  ])('is kept by nine entry VMs whose requests wait, seed %i, read in %i ms', (seed, spreadMs) => {
    const fleet = new GatewayFleet({
      seed,
      domains: ['a', 'b', 'c'],
      entryVmsPerDomain: 3,
      endpoints: createEngines(2, ['a', 'b']).map((engine) => ({ ...engine, slots: 100 })),
      requestsPerS: 30,
      drawRequest: () => ({ path: '/chat/', promptTokens: 500 }),
    });
    const { id } = fleet.endpoints[0]!;
    fleet.run(4_000);
    fleet.limit([id], 2);
    fleet.run(9_000);
    fleet.lapse(id, LAPSE_MS, spreadMs);
    fleet.run(9_000);
    expect(fleet.outcomes.served).toBeGreaterThan(150);
    expect(fleet.violations).toEqual([]);
  });
});

describe('the permits of an engine whose registration lapses', () => {
  /** Asks this entry VM, the only one, for a permit as a peer, and returns the time until it can be used. */
  const ask = (driver: GatewayDriver, endpoint: string): number => {
    const replyTo = { host: '10.0.1.9', port: 7_000 };
    const observation = { endpoint, perSecond: 1, ageMs: 0 };
    const request = { permitId: 'p', replyTo, limit: observation, maxDelayMs: 60_000 };
    driver.dispatch({ kind: 'permit.requested', request });
    return driver.list('permit.answer').at(-1)!.answer.delayMs;
  };

  it('that were given out count when the next ones are', () => {
    const driver = startDriver('e1');
    expect([ask(driver, 'e1'), ask(driver, 'e1'), ask(driver, 'e1')]).toEqual([
      1_000, 2_000, 3_000,
    ]);
    lapse(driver, 'e1', { ms: 500 });
    expect(ask(driver, 'e1')).toBe(3_500);
  });

  it('that this entry VM holds can still be used', () => {
    const driver = startDriver('e1');
    limit(driver, 1);
    driver.dispatch({ kind: 'request.abandoned', requestId: driver.request('/chat/') });
    lapse(driver, 'e1', { ms: 500 });
    driver.advance(510);
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
  });

  it('are not counted against the next process under the id', () => {
    const driver = startDriver('e1');
    [1, 2, 3].forEach(() => ask(driver, 'e1'));
    lapse(driver, 'e1', { startedAtMs: 2, ms: 10 });
    expect(ask(driver, 'e1')).toBe(1_000);
  });
});

/** Sends requests one after the other and lists the endpoints that serve them. */
const listPlaced = (driver: GatewayDriver): string[] => {
  const placed = Array.from({ length: 20 }, () => {
    const { attemptId, endpoint } = driver.findAttempt(driver.request('/chat/'))!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    return endpoint.id;
  });
  return [...new Set(placed)].sort();
};

/** Has the first request that an endpoint gets fail there, so that it is ejected. */
const eject = (driver: GatewayDriver, endpoint: string): void => {
  for (;;) {
    const id = driver.request('/chat/');
    const isThere = driver.findAttempt(id)!.endpoint.id === endpoint;
    if (isThere) driver.fail(id, 'notSent');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    if (isThere) return;
  }
};

/** Answers all probes so far; those that were answered before are ignored. */
const answerProbes = (driver: GatewayDriver, outcome: 'connected' | 'failed'): void => {
  driver
    .list('path.probe')
    .forEach(({ endpoint }) =>
      driver.dispatch({ kind: 'path.probed', endpoint: endpoint.id, outcome }),
    );
};

describe('the ejection of an engine whose registration lapses', () => {
  it('goes on until its time is over', () => {
    const driver = startDriver('e1', 'e2');
    eject(driver, 'e1');
    lapse(driver, 'e1', { ms: 100 });
    expect(listPlaced(driver)).toEqual(['e2']);
    driver.advance(200);
    expect(listPlaced(driver)).toEqual(['e1', 'e2']);
  });

  it('does not pass to the next process under the id', () => {
    const driver = startDriver('e1', 'e2');
    eject(driver, 'e1');
    lapse(driver, 'e1', { ms: 10, startedAtMs: 2 });
    expect(listPlaced(driver)).toEqual(['e1', 'e2']);
  });

  it('ends when this entry VM has its path to the service back, also meanwhile', () => {
    const driver = startDriver('e1', 'e2');
    [1, 2, 3, 4, 5].forEach(() => {
      eject(driver, 'e1');
      driver.advance(4_000);
      driver.confirm();
    });
    eject(driver, 'e1');
    answerProbes(driver, 'failed');
    change(driver, 'e1', undefined);
    [1, 2].forEach(() => {
      driver.advance(400);
      answerProbes(driver, 'connected');
    });
    change(driver, 'e1', createEndpoint('e1'));
    expect(listPlaced(driver)).toEqual(['e1', 'e2']);
  });
});

describe('what an engine has said of its readiness, while its registration lapses', () => {
  const report = (
    driver: GatewayDriver,
    id: string,
    notice: Partial<EndpointNotice>,
    startedAtMs = 1,
  ): void =>
    driver.dispatch({
      kind: 'endpoint.noticeReported',
      endpoint: { id, startedAtMs },
      notice: { leaving: 'no', retryAfterMs: 'none', ...notice },
    });

  /** Longer than the word of an engine is kept whose registration nobody has seen. */
  const LONG_MS = 61_000;

  it('holds for as long as its process lives: it leaves', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    report(driver, 'e1', { leaving: 'yes' });
    driver.advance(LONG_MS);
    change(driver, 'e1', undefined);
    report(driver, 'e3', { leaving: 'yes' });
    driver.advance(LAPSE_MS);
    driver.confirm();
    change(driver, 'e1', createEndpoint('e1'));
    expect(listPlaced(driver)).toEqual(['e2']);
  });

  it('holds where an older copy of the store has the registration again', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    report(driver, 'e1', { leaving: 'yes' });
    driver.advance(LONG_MS);
    change(driver, 'e1', undefined);
    driver.advance(LONG_MS);
    report(driver, 'e3', { leaving: 'yes' });
    driver.dispatch({ kind: 'store.eraRaised', previousEra: 1, era: 2 });
    const copy = ['e1', 'e2', 'e3'].map((id) => createEndpoint(id));
    driver.dispatch({ kind: 'endpoints.read', endpoints: copy });
    driver.advance(12_000);
    driver.confirm();
    expect(listPlaced(driver)).toEqual(['e2']);
  });

  it('does not concern the next process under the id', () => {
    const driver = startDriver('e1', 'e2');
    report(driver, 'e1', { leaving: 'yes', retryAfterMs: 60_000 });
    lapse(driver, 'e1', { startedAtMs: 2 });
    expect(listPlaced(driver)).toEqual(['e1', 'e2']);
  });

  it('holds until its time to come back is over, which ends meanwhile with one request', () => {
    const driver = startDriver('e1', 'e2');
    report(driver, 'e1', { retryAfterMs: 2_000 });
    change(driver, 'e1', undefined);
    driver.advance(1_000);
    change(driver, 'e1', createEndpoint('e1'));
    expect(listPlaced(driver)).toEqual(['e2']);
    change(driver, 'e1', undefined);
    driver.advance(LAPSE_MS);
    report(driver, 'e2', { retryAfterMs: 60_000 });
    change(driver, 'e1', createEndpoint('e1'));
    const placed = [1, 2, 3, 4].map(() => driver.findAttempt(driver.request('/chat/')));
    expect(placed.filter((attempt) => attempt !== undefined)).toHaveLength(1);
  });
});

describe('what comes late of the process before', () => {
  const REPLACED = createEndpoint('e1', { startedAtMs: 2 });

  /** Sends a request to an engine, and returns it while its attempt is open. */
  const open = (driver: GatewayDriver, endpoint: string): string => {
    for (;;) {
      const id = driver.request('/chat/');
      const { attemptId, endpoint: placed } = driver.findAttempt(id)!;
      if (placed.id === endpoint) return id;
      driver.dispatch({ kind: 'attempt.ended', attemptId });
    }
  };

  it('limits nothing', () => {
    const driver = startDriver('e1');
    const id = open(driver, 'e1');
    change(driver, 'e1', REPLACED);
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: 1 });
    expect(isUnlimited(driver)).toBe(true);
  });

  it('ejects nothing', () => {
    const driver = startDriver('e1', 'e2');
    const id = open(driver, 'e1');
    change(driver, 'e1', REPLACED);
    driver.fail(id, 'broken');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    expect(listPlaced(driver)).toEqual(['e1', 'e2']);
  });

  it('ends no ejection', () => {
    const driver = startDriver('e1', 'e2');
    const id = open(driver, 'e1');
    change(driver, 'e1', REPLACED);
    eject(driver, 'e1');
    driver.sendEvent(id, '1');
    expect(listPlaced(driver)).toEqual(['e2']);
  });

  it('stays behind for no endpoint that is over', () => {
    const driver = startDriver('e2');
    const endpoint = createEndpoint('e1', { startedAtMs: undefined });
    change(driver, 'e1', endpoint);
    const { attemptId } = driver.findAttempt(open(driver, 'e1'))!;
    change(driver, 'e1', undefined);
    driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: 1 });
    change(driver, 'e1', endpoint);
    expect(driver.limitUsage.limitedEndpoints).toBe(0);
  });
});

describe('what a peer tells of an engine while its registration is gone here', () => {
  const [PEER] = createPeers('b', 1);

  let sequence = 0;

  const tell = (driver: GatewayDriver, told: Pick<WorkSnapshot, 'limits' | 'leaving'>): void => {
    sequence += 1;
    const snapshot = { from: PEER!, incarnation: 1, sequence, work: [], ...told };
    driver.dispatch({ kind: 'peer.received', snapshot });
  };

  const observe = (endpoint: string): NonNullable<WorkSnapshot['limits']> => [
    { endpoint, perSecond: 1, ageMs: 0 },
  ];

  it('counts when it is back: its limit', () => {
    const driver = startDriver('e1');
    change(driver, 'e1', undefined);
    tell(driver, { limits: observe('e1') });
    change(driver, 'e1', createEndpoint('e1'));
    expect(isUnlimited(driver)).toBe(false);
  });

  it('counts when it is back: its limit in a request for a permit, which is denied', () => {
    const driver = startDriver('e1');
    change(driver, 'e1', undefined);
    const [observation] = observe('e1');
    const request = { permitId: 'p', replyTo: PEER!.address, maxDelayMs: 60_000 };
    driver.dispatch({ kind: 'permit.requested', request: { ...request, limit: observation! } });
    expect(driver.list('permit.answer').at(-1)!.answer.outcome).toBe('denied');
    change(driver, 'e1', createEndpoint('e1'));
    expect(isUnlimited(driver)).toBe(false);
  });

  it('counts when it is back: that it leaves', () => {
    const driver = startDriver('e1', 'e2');
    change(driver, 'e1', undefined);
    tell(driver, { leaving: [{ endpoint: 'e1', startedAtMs: 1, ageMs: 0 }] });
    change(driver, 'e1', createEndpoint('e1'));
    expect(listPlaced(driver)).toEqual(['e2']);
  });

  it('does not count of one that was never registered', () => {
    const driver = startDriver();
    tell(driver, { limits: observe('e1') });
    change(driver, 'e1', createEndpoint('e1'));
    expect(isUnlimited(driver)).toBe(true);
  });

  it('is not told on until it is back', () => {
    const driver = startDriver('e1');
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    const listTold = (): WorkSnapshot['limits'] => {
      driver.advance(1_000);
      return driver.list('peers.send').at(-1)!.snapshot.limits;
    };
    limit(driver, 1);
    expect(listTold()).toHaveLength(1);
    change(driver, 'e1', undefined);
    expect(listTold()).toEqual([]);
    change(driver, 'e1', createEndpoint('e1'));
    expect(listTold()).toHaveLength(1);
  });
});

describe('the limit of a process that is over, in what peers tell', () => {
  const [PEER] = createPeers('b', 1);

  const tell = (driver: GatewayDriver, startedAtMs: number | undefined): void => {
    const limits = [{ endpoint: 'e1', perSecond: 1, ageMs: 0, startedAtMs }];
    const snapshot = { from: PEER!, incarnation: 1, sequence: 1, work: [], limits };
    driver.dispatch({ kind: 'peer.received', snapshot });
  };

  it.each([
    ['counts', 'the same process', 2, false],
    ['counts', 'a build that does not say which', undefined, false],
    ['does not count', 'the process before', 1, true],
    ['does not count', 'a process that is not read yet', 3, true],
  ])('%s if it is of %s', (_, __, startedAtMs, expected) => {
    const driver = startDriver();
    change(driver, 'e1', createEndpoint('e1', { startedAtMs: 2 }));
    tell(driver, startedAtMs);
    expect(isUnlimited(driver)).toBe(expected);
  });

  it('can be told from that of the next one, also in a request for a permit', () => {
    const driver = startDriver('e1');
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    tell(driver, 1);
    driver.advance(1_000);
    const [told] = driver.list('peers.send').at(-1)!.snapshot.limits!;
    expect(told).toMatchObject({ endpoint: 'e1', startedAtMs: 1 });
    const peer = createPeers('a', 1)[0]!;
    const sequence = { incarnation: 1, sequence: 1, work: [], limits: [] };
    driver.dispatch({ kind: 'peer.received', snapshot: { from: peer, ...sequence } });
    Array.from({ length: 8 }, (_, index) => {
      const id = `e${index + 10}`;
      change(driver, id, createEndpoint(id, { startedAtMs: 7 }));
      limit(driver, 1);
      return id;
    });
    Array.from({ length: 9 }, () => driver.request('/chat/'));
    driver.advance(100);
    const asked = driver.list('permit.request').map(({ request }) => request.limit);
    expect(asked.length).toBeGreaterThan(0);
    asked.forEach(({ endpoint, startedAtMs }) =>
      expect(startedAtMs).toBe(endpoint === 'e1' ? 1 : 7),
    );
  });

  it.each([1, 2, 3])('ends in all entry VMs, whoever reads the next one first, seed %i', (seed) => {
    const fleet = new GatewayFleet({
      seed,
      domains: ['a', 'b', 'c'],
      entryVmsPerDomain: 3,
      endpoints: createEngines(2, ['a', 'b']),
      requestsPerS: 20,
      drawRequest: () => ({ path: '/chat/', promptTokens: 500 }),
    });
    const { id } = fleet.endpoints[0]!;
    const countLimited = (): number =>
      fleet.vms.reduce((sum, { node }) => sum + node.limitUsage.limitedEndpoints, 0);
    fleet.run(4_000);
    fleet.limit([id], 1);
    fleet.run(6_000);
    fleet.changeLoad(0);
    fleet.run(15_000);
    expect(countLimited()).toBe(9);
    fleet.restart(id, 500);
    fleet.run(3_000);
    expect(countLimited()).toBe(0);
  });
});
