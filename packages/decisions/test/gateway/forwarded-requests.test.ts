import type { ForwardingOffer, GatewayPeer } from '@savorywind/model';
import { createGatewayContract } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import type { ForwardedFrom, PeerRefusal } from '../../src/gateway/forwarding/types.js';
import {
  createConfiguration,
  createEndpoint,
  createHead,
  GatewayDriver,
} from '../fixtures/gateway-driver.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5'];

const createPeer = (id: string, failureDomain = 'a'): GatewayPeer => ({
  id,
  failureDomain,
  address: { host: `10.0.1.${id.length}${id.at(-1)}`, port: 7_000 },
});

const PEERS = [createPeer('near-1'), createPeer('near-2'), createPeer('far-1', 'b')];

const OPEN: ForwardingOffer = { isAccepting: true, lostServices: [] };

const FORWARDED: ForwardedFrom = {
  by: 'near-1',
  version: 1,
  elapsedMs: 0,
  hasBegun: false,
  failedEndpoints: [],
};

const NOT_RUN: PeerRefusal = {
  reason: 'noEndpoint',
  retryAfterMs: 700,
  hasRun: false,
  hasArrived: false,
  endpoint: undefined,
};

interface PeerView {
  readonly offers?: Readonly<Record<string, ForwardingOffer | undefined>>;
  readonly versions?: Readonly<Record<string, number>>;
  readonly registered?: readonly GatewayPeer[];
  readonly writers?: Readonly<Record<string, number>>;
}

let sequence = 0;

/** Delivers snapshots of all peers. */
const hearPeers = (driver: GatewayDriver, view: PeerView = {}): void => {
  const { offers = {}, versions = {}, writers = {} } = view;
  PEERS.forEach((from) => {
    sequence += 1;
    const work = { tightWriters: 0, tightGapMs: 0, readers: 0, longReaders: 0, readMs: 0 };
    const count = writers[from.id] ?? 0;
    driver.dispatch({
      kind: 'peer.received',
      snapshot: {
        from,
        incarnation: 1,
        sequence,
        work: [{ ...work, endpoint: 'e1', writers: count, memoryTokens: 0 }],
        configuration: { version: versions[from.id] ?? 1, ageMs: 0 },
        forwarding: from.id in offers ? offers[from.id] : OPEN,
      },
    });
  });
};

const startWithPeers = (view: PeerView = {}): GatewayDriver => {
  const driver = new GatewayDriver();
  driver.start([
    ...ENGINES.map((id) => createEndpoint(id)),
    createEndpoint('booking-1', { service: 'booking', slots: 6 }),
    createEndpoint('booking-2', { service: 'booking', slots: 6 }),
  ]);
  driver.dispatch({ kind: 'peers.read', peers: view.registered ?? PEERS });
  hearPeers(driver, view);
  return driver;
};

/** Answers the probes that were sent since the last call. */
const answerProbes = (driver: GatewayDriver, outcome: 'connected' | 'failed'): number => {
  const probes = driver.list('path.probe');
  driver.effects.splice(
    0,
    driver.effects.length,
    ...driver.effects.filter(({ kind }) => kind !== 'path.probe'),
  );
  probes.forEach(({ endpoint }) =>
    driver.dispatch({ kind: 'path.probed', endpoint: endpoint.id, outcome }),
  );
  return probes.length;
};

/** Has the entry VM lose its path to the endpoints of both services. */
const losePath = (driver: GatewayDriver): void => {
  const id = driver.request('/booking/');
  driver.fail(id, 'notSent');
  answerProbes(driver, 'failed');
  const chat = driver.request('/chat/');
  driver.fail(chat, 'notSent');
  answerProbes(driver, 'failed');
  answerProbes(driver, 'failed');
};

const findForward = (driver: GatewayDriver, requestId: string) =>
  driver.list('attempt.forward').findLast((effect) => effect.requestId === requestId);

const refuse = (driver: GatewayDriver, requestId: string, refusal: PeerRefusal): void => {
  const { attemptId } = findForward(driver, requestId)!;
  const failure = refusal.hasRun ? 'broken' : 'rejected';
  driver.dispatch({ kind: 'attempt.failed', attemptId, failure, detail: 'test', refusal });
};

describe('an entry VM that has lost its path', () => {
  it('forwards requests to a peer of its failure domain at once', () => {
    const driver = startWithPeers();
    losePath(driver);
    const id = driver.request('/chat/');
    expect(driver.findAttempt(id)).toBeUndefined();
    expect(findForward(driver, id)?.peer.failureDomain).toBe('a');
  });

  it('tries no more than two peers for a request that can’t be put into bytes, and blames none', () => {
    const driver = startWithPeers();
    losePath(driver);
    const id = driver.request('/chat/');
    for (let count = 0; count < 10 && driver.findRefusal(id) === undefined; count += 1) {
      const { attemptId } = findForward(driver, id)!;
      driver.dispatch({ kind: 'attempt.failed', attemptId, failure: 'unsendable', detail: 'test' });
    }
    const peers = driver
      .list('attempt.forward')
      .filter(({ requestId }) => requestId === id)
      .map(({ peer }) => peer.id);
    expect(new Set(peers).size).toBe(2);
    expect(peers).toHaveLength(2);
    expect(driver.findRefusal(id)?.reason).toBe('rejected');
    // Both are still preferred to peers of other domains.
    expect(peers).toContain(findForward(driver, driver.request('/chat/'))?.peer.id);
  });

  it('prefers a peer of another domain to one with many more requests', () => {
    const driver = startWithPeers({ writers: { 'near-1': 40, 'near-2': 40 } });
    losePath(driver);
    expect(findForward(driver, driver.request('/chat/'))?.peer.id).toBe('far-1');
  });

  it('spreads requests over peers before their snapshots show them', () => {
    const driver = startWithPeers();
    losePath(driver);
    const ids = Array.from({ length: 60 }, () => driver.request('/chat/'));
    const peers = ids.map((id) => findForward(driver, id)?.peer.id);
    PEERS.forEach(({ id }) =>
      expect(peers.filter((peer) => peer === id).length).toBeGreaterThan(8),
    );
  });

  it.each([
    ['that take none', { offers: { 'near-1': undefined, 'near-2': undefined } }],
    [
      'that stop',
      {
        offers: {
          'near-1': { ...OPEN, isAccepting: false },
          'near-2': { ...OPEN, isAccepting: false },
        },
      },
    ],
    [
      'that have lost theirs',
      {
        offers: {
          'near-1': { ...OPEN, lostServices: ['pool'] },
          'near-2': { ...OPEN, lostServices: ['pool'] },
        },
      },
    ],
    ['with an older configuration', { versions: { 'near-1': 0, 'near-2': 0 } }],
    ['that the store does not hold', { registered: [PEERS[2]!] }],
  ] as const)('forwards nothing to peers %s', (_name, view) => {
    const driver = startWithPeers(view);
    losePath(driver);
    const ids = Array.from({ length: 20 }, () => driver.request('/chat/'));
    const peers = new Set(ids.map((id) => findForward(driver, id)?.peer.id));
    expect([...peers]).toEqual(['far-1']);
  });

  it('refuses at once if no peer takes requests', () => {
    const offers = Object.fromEntries(PEERS.map(({ id }) => [id, undefined]));
    const driver = startWithPeers({ offers });
    losePath(driver);
    const ids = Array.from({ length: 8 }, () => {
      const id = driver.request('/chat/');
      while (driver.findRefusal(id) === undefined) driver.fail(id, 'notSent');
      return id;
    });
    const last = ids.at(-1)!;
    expect(driver.findAttempt(last)).toBeUndefined();
    expect(driver.findRefusal(last)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('withdraws requests that are not sent yet, and forwards them', () => {
    const driver = startWithPeers();
    const waiting = driver.request('/chat/');
    const other = driver.request('/chat/');
    driver.fail(other, 'notSent');
    answerProbes(driver, 'failed');
    const { attemptId } = driver.findAttempt(waiting)!;
    expect(driver.list('attempt.withdraw').map((effect) => effect.attemptId)).toContain(attemptId);
    driver.fail(waiting, 'withdrawn');
    expect(findForward(driver, waiting)).toBeDefined();
  });

  it('forwards a silent stream with the id of the last event', () => {
    const driver = startWithPeers();
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    driver.advance(400);
    expect(answerProbes(driver, 'failed')).toBeGreaterThan(0);
    driver.advance(30);
    expect(findForward(driver, id)).toMatchObject({ lastEventId: '7' });
    expect(findForward(driver, id)?.forwardedFrom.hasBegun).toBe(true);
  });

  it('leaves streams alone that go on', () => {
    const driver = startWithPeers();
    const stream = driver.request('/chat/');
    driver.sendEvent(stream, '1');
    const other = driver.request('/chat/');
    driver.fail(other, 'notSent');
    answerProbes(driver, 'failed');
    driver.advance(200);
    driver.sendEvent(stream, '2');
    driver.advance(200);
    expect(findForward(driver, stream)).toBeUndefined();
  });

  it('blames no request for connections that broke', () => {
    const driver = startWithPeers();
    const sharedParts = ['part'];
    const ids = Array.from({ length: 12 }, () => driver.request('/chat/', { sharedParts }));
    ids.forEach((id) => driver.fail(id, 'broken'));
    answerProbes(driver, 'failed');
    driver.advance(2_000);
    expect(driver.harmUsage.crashes).toBe(0);
  });

  it.each([
    ['a lost path', 'chat', 0],
    ['the crash of all replicas of a service', 'booking', 1],
  ])('tells %s from what a request does to its endpoints', (_name, route, crashes) => {
    const driver = startWithPeers();
    // A service with two replicas, and one with more endpoints than one round probes.
    const id = driver.request(`/${route}/`, { sharedParts: ['part'] });
    driver.fail(id, 'broken');
    answerProbes(driver, 'failed');
    driver.advance(50);
    answerProbes(driver, route === 'chat' ? 'failed' : 'connected');
    driver.advance(500);
    expect(driver.harmUsage.crashes).toBe(crashes);
  });

  it('sends requests to all endpoints again soon after the path is back', () => {
    const driver = startWithPeers();
    // All endpoints are ejected for the longest time.
    for (let count = 0; count < 20; count += 1) {
      const id = driver.request('/chat/');
      driver.fail(id, 'notSent');
      driver.fail(id, 'notSent');
    }
    answerProbes(driver, 'failed');
    for (let round = 0; round < 5; round += 1) {
      driver.advance(400);
      hearPeers(driver);
      answerProbes(driver, round < 2 ? 'failed' : 'connected');
    }
    const ids = Array.from({ length: 15 }, () => driver.request('/chat/'));
    const endpoints = new Set(ids.map((id) => driver.findAttempt(id)?.endpoint.id));
    expect([...endpoints].sort()).toEqual(ENGINES);
    expect(ids.some((id) => findForward(driver, id) !== undefined)).toBe(false);
  });

  it('waits longer before it trusts a path that is lost again and again', () => {
    const driver = startWithPeers();
    const measureMs = (): number => {
      driver.fail(driver.request('/chat/'), 'notSent');
      // A round starts some time after the last one.
      driver.advance(300);
      expect(answerProbes(driver, 'failed')).toBeGreaterThan(0);
      const startMs = driver.nowMs;
      for (;;) {
        driver.advance(50);
        hearPeers(driver);
        answerProbes(driver, 'connected');
        if (driver.findAttempt(driver.request('/chat/')) !== undefined)
          return driver.nowMs - startMs;
      }
    };
    const [first, second, third] = [measureMs(), measureMs(), measureMs()];
    expect(first).toBeLessThan(1_200);
    expect(second).toBeGreaterThan(1.5 * first);
    expect(third).toBeLessThan(5_000);
  });
});

describe('one endpoint that fails', () => {
  it.each(['notSent', 'broken'] as const)('(%s) is not taken for a lost path', (failure) => {
    const driver = startWithPeers();
    driver.fail(driver.request('/chat/'), failure);
    answerProbes(driver, 'connected');
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
  });

  it('and is silent is not taken for a lost path', () => {
    const driver = startWithPeers();
    const silent = driver.request('/chat/');
    for (let round = 0; round < 5; round += 1) {
      driver.advance(200);
      hearPeers(driver);
      answerProbes(driver, 'connected');
    }
    expect(findForward(driver, silent)).toBeUndefined();
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
  });

  it('costs few probes while it is silent', () => {
    const driver = startWithPeers();
    driver.request('/review/', { promptTokens: 150_000 });
    let probes = 0;
    for (let ms = 0; ms < 3_000; ms += 50) {
      driver.advance(50);
      probes += answerProbes(driver, 'connected');
    }
    expect(probes).toBeLessThanOrEqual(12);
  });

  it('has a request forwarded that could not be sent twice', () => {
    const driver = startWithPeers();
    const id = driver.request('/chat/');
    driver.fail(id, 'notSent');
    expect(findForward(driver, id)).toBeUndefined();
    driver.fail(id, 'notSent');
    expect(findForward(driver, id)).toBeDefined();
  });
});

describe('a forwarded request', () => {
  const startForwarded = (path = '/chat/'): { driver: GatewayDriver; id: string } => {
    const driver = startWithPeers();
    losePath(driver);
    return { driver, id: driver.request(path) };
  };

  it('that a peer did not run goes to another peer', () => {
    const { driver, id } = startForwarded();
    const first = findForward(driver, id)!.peer.id;
    refuse(driver, id, NOT_RUN);
    expect(findForward(driver, id)!.peer.id).not.toBe(first);
  });

  it('that no peer runs is refused with the time that a peer names', () => {
    const { driver, id } = startForwarded('/booking/');
    PEERS.forEach(() => refuse(driver, id, NOT_RUN));
    const attempt = driver.findAttempt(id);
    if (attempt !== undefined) driver.fail(id, 'notSent');
    expect(driver.findRefusal(id)).toEqual({ reason: 'noEndpoint', retryAfterMs: 700 });
  });

  it.each(['/booking/', '/balance/'])('whose response is lost may have run, %s', (path) => {
    const { driver, id } = startForwarded(path);
    const { attemptId } = findForward(driver, id)!;
    const forwards = driver.list('attempt.forward').length;
    driver.dispatch({ kind: 'attempt.failed', attemptId, failure: 'broken', detail: 'test' });
    const mayRerun = path === '/balance/';
    expect(driver.list('attempt.forward').length).toBe(mayRerun ? forwards + 1 : forwards);
    if (!mayRerun)
      expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });

  it('that has run at a peer is not run again if it must not be', () => {
    const { driver, id } = startForwarded('/booking/');
    refuse(driver, id, { ...NOT_RUN, reason: 'broken', hasRun: true, hasArrived: true });
    expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
    expect(driver.findAttempt(id)).toBeUndefined();
  });

  it('avoids the endpoint that has failed it', () => {
    const { driver, id } = startForwarded();
    refuse(driver, id, { ...NOT_RUN, hasRun: true, hasArrived: true, endpoint: 'e3' });
    expect(findForward(driver, id)?.forwardedFrom.failedEndpoints).toEqual(['e3']);
  });

  it('runs on as many endpoints as its route permits', () => {
    const { driver, id } = startForwarded();
    const failed = { ...NOT_RUN, reason: 'broken', hasRun: true, hasArrived: true } as const;
    refuse(driver, id, failed);
    refuse(driver, id, failed);
    expect(driver.findRefusal(id)?.reason).toBe('broken');
  });

  it('goes on at another peer if a stream breaks', () => {
    const { driver, id } = startForwarded();
    const { attemptId, peer } = findForward(driver, id)!;
    const head = createHead({ servedBy: 'e2' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '3' });
    driver.dispatch({ kind: 'attempt.failed', attemptId, failure: 'broken', detail: 'test' });
    const next = findForward(driver, id)!;
    expect(next).toMatchObject({ lastEventId: '3', forwardedFrom: { hasBegun: true } });
    expect(next.peer.id).not.toBe(peer.id);
  });

  it('that its caller abandons is cancelled', () => {
    const { driver, id } = startForwarded();
    const { attemptId } = findForward(driver, id)!;
    driver.dispatch({ kind: 'request.abandoned', requestId: id });
    expect(driver.list('attempt.cancel').map((effect) => effect.attemptId)).toContain(attemptId);
  });

  it('is told the time since its arrival, and uses a connection of its own if it runs once', () => {
    const driver = startWithPeers();
    const id = driver.request('/booking/');
    driver.advance(300);
    driver.fail(id, 'notSent');
    answerProbes(driver, 'failed');
    driver.fail(id, 'notSent');
    expect(findForward(driver, id)).toMatchObject({
      connection: 'new',
      forwardedFrom: { by: 'vm-1', version: 1, elapsedMs: 300 },
    });
  });

  it('makes the leaving of its endpoint known', () => {
    const { driver, id } = startForwarded();
    const { attemptId } = findForward(driver, id)!;
    const head = createHead({ servedBy: 'e2' });
    driver.dispatch({
      kind: 'endpoint.noticeReported',
      endpoint: { id: 'e2', startedAtMs: 1 },
      notice: { leaving: 'yes', retryAfterMs: 'none' },
    });
    const endpoint = { id: 'e3', startedAtMs: 1 };
    driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: 2, endpoint });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.limitUsage.limitedEndpoints).toBe(1);
  });

  it.each([
    ['of a build that does not say which process it is', undefined, 1],
    ['of an earlier process', 0, 0],
  ])('makes the limit %s known or not', (_, startedAtMs, limitedEndpoints) => {
    const { driver, id } = startForwarded();
    const { attemptId } = findForward(driver, id)!;
    const endpoint = { id: 'e3', startedAtMs };
    driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: 2, endpoint });
    expect(driver.limitUsage.limitedEndpoints).toBe(limitedEndpoints);
  });
});

describe('a request of a peer', () => {
  it('is sent to an endpoint with the time that is left', () => {
    const driver = startWithPeers();
    const forwardedFrom = { ...FORWARDED, elapsedMs: 1_500 };
    const id = driver.request('/booking/', { forwardedFrom, waitsMs: 4_000 });
    expect(driver.findAttempt(id)?.timeoutMs).toBe(2_500);
  });

  it('is never forwarded, also if this VM has lost its path', () => {
    const driver = startWithPeers();
    losePath(driver);
    const id = driver.request('/chat/', { forwardedFrom: FORWARDED });
    expect(findForward(driver, id)).toBeUndefined();
    expect(driver.findRefusal(id)).toMatchObject({
      reason: 'noEndpoint',
      forwarding: { hasRun: false, hasArrived: false },
    });
  });

  it('is refused while an older configuration is in force here', () => {
    const driver = startWithPeers();
    const id = driver.request('/chat/', { forwardedFrom: { ...FORWARDED, version: 2 } });
    expect(driver.findRefusal(id)).toMatchObject({ reason: 'notReady' });
  });

  it('is refused if its credential has been revoked here', () => {
    const driver = startWithPeers();
    driver.confirm(createConfiguration({ version: 2, teams: [] }));
    const forwardedFrom = FORWARDED;
    const id = driver.request('/private/', { forwardedFrom, credential: 'secret' });
    expect(driver.findRefusal(id)).toMatchObject({ reason: 'wrongCredential' });
  });

  it('avoids the endpoints that have failed it', () => {
    const driver = startWithPeers();
    const forwardedFrom = { ...FORWARDED, failedEndpoints: ['e1', 'e2', 'e3', 'e4'] };
    const ids = Array.from({ length: 2 }, () => driver.request('/chat/', { forwardedFrom }));
    expect(new Set(ids.map((id) => driver.findAttempt(id)?.endpoint.id))).toEqual(new Set(['e5']));
  });

  it('is run once, and the peer is told which endpoint has failed it', () => {
    const driver = startWithPeers();
    const id = driver.request('/chat/', { forwardedFrom: FORWARDED });
    const { endpoint } = driver.findAttempt(id)!;
    driver.fail(id, 'broken');
    expect(driver.findRefusal(id)).toMatchObject({
      reason: 'broken',
      forwarding: { hasRun: true, hasArrived: true, endpoint: endpoint.id },
    });
  });

  it('is sent elsewhere if it was not sent or was rejected', () => {
    const driver = startWithPeers();
    const id = driver.request('/chat/', { forwardedFrom: FORWARDED });
    const first = driver.findAttempt(id)!.endpoint.id;
    driver.fail(id, 'notSent');
    expect(driver.findAttempt(id)!.endpoint.id).not.toBe(first);
    driver.fail(id, 'rejected');
    expect(driver.findRefusal(id)).toBeUndefined();
  });

  it('with a part of the response has until its deadline, not until its first event', () => {
    const driver = startWithPeers();
    const forwardedFrom = { ...FORWARDED, elapsedMs: 5_000, hasBegun: true };
    const id = driver.request('/chat/', { forwardedFrom, lastEventId: '3' });
    expect(driver.findAttempt(id)).toMatchObject({ lastEventId: '3' });
  });

  it('earns no retries here, as it does where its caller is', () => {
    const driver = new GatewayDriver(createGatewayContract({ retryAllowance: 0 }));
    driver.start([1, 2].map((index) => createEndpoint(`booking-${index}`, { service: 'booking' })));
    for (let count = 0; count < 40; count += 1) {
      const forwarded = driver.request('/balance/', { forwardedFrom: FORWARDED });
      const { attemptId } = driver.findAttempt(forwarded)!;
      driver.dispatch({ kind: 'attempt.ended', attemptId });
    }
    const own = driver.request('/balance/');
    driver.fail(own, 'broken');
    expect(driver.findRefusal(own)?.reason).toBe('broken');
  });

  it('does not count for the metrics of callers', () => {
    const driver = startWithPeers();
    const id = driver.request('/balance/', { forwardedFrom: FORWARDED });
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    expect(driver.list('caller.finish').map(({ requestId }) => requestId)).toContain(id);
    expect(driver.list('request.measured')).toEqual([]);
  });

  it('is refused beside too many others', () => {
    const driver = startWithPeers();
    const ids = Array.from({ length: 257 }, () =>
      driver.request('/balance/', { forwardedFrom: FORWARDED }),
    );
    expect(driver.findRefusal(ids.at(-1)!)).toMatchObject({ reason: 'noRoom' });
    expect(driver.findRefusal(ids[0]!)).toBeUndefined();
  });
});
