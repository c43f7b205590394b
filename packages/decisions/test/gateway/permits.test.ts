import type { GatewayPeer, LimitObservation, PermitAnswer, PermitRequest } from '@savorywind/model';
import { beforeEach, describe, expect, it } from 'vitest';
import { PermitAccount } from '../../src/gateway/permits/permit-account.js';
import { createPeers } from '../fixtures/fleet-driver.js';
import { createEndpoint, GatewayDriver } from '../fixtures/gateway-driver.js';

describe('the account of permits', () => {
  it('spaces the permits of an endpoint evenly, also the first one', () => {
    const account = new PermitAccount();
    const delays = [1, 2, 3].map(() => account.take('e1', 4, 10_000, 1_000).delayMs);
    expect(delays).toEqual([250, 500, 750]);
  });

  it('does not save up permits that were not taken', () => {
    const account = new PermitAccount();
    account.take('e1', 4, 10_000, 0);
    const delays = [1, 2].map(() => account.take('e1', 4, 10_000, 60_000).delayMs);
    expect(delays).toEqual([0, 250]);
  });

  it('denies a permit that would come too late, says when, and keeps it for others', () => {
    const account = new PermitAccount();
    expect(account.take('e1', 1, 900, 0)).toEqual({ outcome: 'denied', delayMs: 1_000 });
    expect(account.take('e1', 1, 1_000, 0)).toEqual({ outcome: 'granted', delayMs: 1_000 });
  });

  it('grants one permit in four seconds at least', () => {
    expect(new PermitAccount().take('e1', 0, 5_000, 0).delayMs).toBe(4_000);
  });

  it('keeps endpoints apart', () => {
    const account = new PermitAccount();
    account.take('e1', 1, 10_000, 0);
    expect(account.take('e2', 1, 10_000, 0).delayMs).toBe(1_000);
  });
});

/** Entry VM `vm-1` of failure domain `a` with one peer in it, and engines in `a` or `b`. */
class PermitDriver extends GatewayDriver {
  private sequence = 0;

  readonly peerA = createPeers('a', 1)[0]!;

  readonly peerB = createPeers('b', 1)[0]!;

  constructor(domain: string, engines = 8) {
    super();
    const ids = Array.from({ length: engines }, (_, index) => `e${index}`);
    this.start(ids.map((id) => createEndpoint(id, { failureDomain: domain })));
    this.hear([this.peerA, this.peerB], []);
  }

  /** Delivers snapshots with limits; without them the peers are of a build that knows no permits. */
  hear(peers: readonly GatewayPeer[], limits: readonly LimitObservation[] | undefined): void {
    peers.forEach((from) => {
      this.sequence += 1;
      const snapshot = { from, incarnation: 1, sequence: this.sequence, work: [], limits };
      this.dispatch({ kind: 'peer.received', snapshot });
    });
  }

  /** Reports a limit of all engines as a peer observed it. */
  limitAll(perSecond: number | undefined, ageMs = 0, engines = 8): void {
    const limits = Array.from({ length: engines }, (_, index) => ({
      endpoint: `e${index}`,
      perSecond,
      ageMs,
    }));
    this.hear([this.peerA], limits);
  }

  /** Advances the clock while the peers are heard. */
  advanceHearing(ms: number, peers: readonly GatewayPeer[] = [this.peerA, this.peerB]): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 250) {
      this.advance(250);
      this.hear(peers, []);
    }
  }

  get requests(): PermitRequest[] {
    return this.list('permit.request').map(({ request }) => request);
  }

  answer(permitId: string, answer: Omit<PermitAnswer, 'permitId'>): void {
    this.dispatch({ kind: 'permit.answered', answer: { permitId, ...answer } });
  }

  /** Asks this entry VM for a permit as a peer, and returns the answer. */
  ask(endpoint: string, maxDelayMs = 60_000, perSecond = 1): PermitAnswer {
    const limit = { endpoint, perSecond, ageMs: 0 };
    const replyTo = this.peerA.address;
    const request = { permitId: `p${this.effects.length}`, replyTo, limit, maxDelayMs };
    this.dispatch({ kind: 'permit.requested', request });
    return this.list('permit.answer').at(-1)!.answer;
  }
}

describe('a VM whose engines all have limits', () => {
  let driver: PermitDriver;

  beforeEach(() => {
    driver = new PermitDriver('b');
    driver.limitAll(1);
  });

  it('asks a coordinator in the engine’s failure domain, and sends nothing before the permit', () => {
    const id = driver.request('/chat/');
    expect(driver.list('permit.request').map(({ to }) => to)).toEqual([driver.peerB.address]);
    expect(driver.findAttempt(id)).toBeUndefined();
    const [{ permitId, limit }] = driver.requests as [PermitRequest];
    driver.answer(permitId, { outcome: 'granted', delayMs: 0 });
    expect(driver.findAttempt(id)?.endpoint.id).toBe(limit.endpoint);
  });

  it('has a long prompt prefilled by several of them with the permit of one', () => {
    const id = driver.request('/review/', { promptTokens: 180_000 });
    driver.answer(driver.requests[0]!.permitId, { outcome: 'granted', delayMs: 0 });
    const attempt = driver.findAttempt(id);
    expect(attempt?.endpoint.id).toBe(driver.requests[0]!.limit.endpoint);
    expect(attempt?.helpers.length).toBeGreaterThan(0);
    expect(driver.requests).toHaveLength(1);
  });

  it('uses a permit only from its time on, and once', () => {
    const first = driver.request('/chat/');
    driver.answer(driver.requests[0]!.permitId, { outcome: 'granted', delayMs: 200 });
    driver.advance(190);
    expect(driver.findAttempt(first)).toBeUndefined();
    driver.advance(30);
    expect(driver.findAttempt(first)).toBeDefined();
    const second = driver.request('/chat/');
    expect(driver.findAttempt(second)).toBeUndefined();
  });

  it('does not use a permit that has expired', () => {
    const first = driver.request('/chat/');
    driver.dispatch({ kind: 'request.abandoned', requestId: first });
    driver.answer(driver.requests[0]!.permitId, { outcome: 'granted', delayMs: 0 });
    driver.advanceHearing(1_000);
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
  });

  it('forgets its permits when it was suspended', () => {
    const first = driver.request('/chat/');
    driver.dispatch({ kind: 'request.abandoned', requestId: first });
    driver.answer(driver.requests[0]!.permitId, { outcome: 'granted', delayMs: 0 });
    driver.dispatch({ kind: 'time.lost', lostMs: 3_000 });
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
  });

  it('asks for as many permits as requests wait, and for one of an engine at a time', () => {
    driver.request('/chat/');
    driver.advance(100);
    expect(driver.requests).toHaveLength(1);
    Array.from({ length: 20 }, () => driver.request('/chat/'));
    driver.advance(100);
    const asked = driver.requests.map(({ limit }) => limit.endpoint);
    expect(new Set(asked).size).toBe(8);
    expect(asked).toHaveLength(8);
  });

  it('asks again if an answer is lost', () => {
    driver.request('/chat/');
    driver.advanceHearing(500);
    expect(driver.requests.length).toBeGreaterThanOrEqual(2);
  });

  it('ignores the answer to a question that it has replaced', () => {
    driver = new PermitDriver('b', 1);
    driver.limitAll(1, 0, 1);
    const id = driver.request('/chat/');
    driver.advanceHearing(500);
    driver.answer(driver.requests[0]!.permitId, { outcome: 'granted', delayMs: 0 });
    expect(driver.findAttempt(id)).toBeUndefined();
  });

  it('refuses a request at once if every permit would come too late', () => {
    driver = new PermitDriver('b', 1);
    driver.limitAll(1, 0, 1);
    const id = driver.request('/chat/');
    driver.answer(driver.requests[0]!.permitId, { outcome: 'denied', delayMs: 4_000 });
    driver.advance(15);
    expect(driver.findRefusal(id)).toMatchObject({ reason: 'noRoom' });
    expect(driver.findRefusal(id)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('does not ask peers of a build that knows no permits', () => {
    driver.hear([driver.peerA, driver.peerB], undefined);
    driver.request('/chat/');
    driver.advance(100);
    expect(driver.requests).toEqual([]);
  });

  it('needs no permits once a peer has seen that the limits have ended', () => {
    driver.advanceHearing(250);
    driver.limitAll(undefined, 100);
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
  });

  it('keeps the limits if a peer reports an end that was seen before they were named', () => {
    driver.limitAll(undefined, 5_000);
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
  });
});

describe('a VM that prefers engines without limits', () => {
  it('asks for no permits while these can serve in time', () => {
    const driver = new PermitDriver('b');
    driver.limitAll(1, 0, 7);
    const id = driver.request('/chat/');
    expect(driver.findAttempt(id)?.endpoint.id).toBe('e7');
    expect(driver.requests).toEqual([]);
  });
});

describe('a coordinator', () => {
  const findOwn = (driver: PermitDriver): string => {
    const ids = Array.from({ length: 8 }, (_, index) => `e${index}`);
    return ids.find((id) => driver.ask(id).outcome === 'granted')!;
  };

  it('grants the permits of some engines of its domain, one after the other', () => {
    const driver = new PermitDriver('a');
    const own = findOwn(driver);
    expect(driver.ask(own).delayMs).toBe(2_000);
    expect(driver.ask(own, 2_500)).toMatchObject({ outcome: 'denied', delayMs: 3_000 });
    expect(driver.list('permit.answer').at(-1)?.to).toEqual(driver.peerA.address);
  });

  it('denies permits of engines whose coordinator is another VM, or that it does not know', () => {
    const driver = new PermitDriver('b');
    expect(driver.ask('e0')).toMatchObject({ outcome: 'denied', delayMs: 250 });
    expect(driver.ask('unknown')).toMatchObject({ outcome: 'denied', delayMs: 250 });
  });

  it('denies permits of a process other than it knows, whose limit may be another one', () => {
    const driver = new PermitDriver('a');
    const own = findOwn(driver);
    const ask = (startedAtMs: number): string => {
      const limit = { endpoint: own, perSecond: undefined, ageMs: 0, startedAtMs };
      const { address: replyTo } = driver.peerA;
      const request = { permitId: 'p', replyTo, limit, maxDelayMs: 60_000 };
      driver.dispatch({ kind: 'permit.requested', request });
      return driver.list('permit.answer').at(-1)!.answer.outcome;
    };
    expect([ask(1), ask(2)]).toEqual(['granted', 'denied']);
  });

  it('grants only its part of the limit while it does not hear the other VMs of the domain', () => {
    const driver = new PermitDriver('a');
    const own = findOwn(driver);
    driver.advanceHearing(2_000, [driver.peerB]);
    const delays = [1, 2].map(() => driver.ask(own).delayMs);
    expect(delays[1]! - delays[0]!).toBe(2_000);
  });

  it('grants the whole limit once the other VMs must have been removed for good', () => {
    const driver = new PermitDriver('a');
    const own = findOwn(driver);
    driver.advanceHearing(21_000, [driver.peerB]);
    const delays = [1, 2].map(() => driver.ask(own).delayMs);
    expect(delays[1]! - delays[0]!).toBe(1_000);
  });

  it('of a domain whose VMs are not heard is not found elsewhere, until they are gone for good', () => {
    const driver = new PermitDriver('b');
    driver.limitAll(1);
    driver.advanceHearing(2_000, [driver.peerA]);
    const id = driver.request('/chat/');
    driver.advanceHearing(1_000, [driver.peerA]);
    expect(driver.findAttempt(id)).toBeUndefined();
    driver.advanceHearing(20_000, [driver.peerA]);
    const later = driver.request('/chat/', { waitsMs: 9_000 });
    driver.advanceHearing(1_500, [driver.peerA]);
    expect(driver.requests.length + driver.list('attempt.start').length).toBeGreaterThan(0);
    expect(driver.findRefusal(later)).toBeUndefined();
  });
});
