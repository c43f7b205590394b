import { createGatewayContract } from '@savorywind/stand-ins';
import type { GatewayContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { computeReadTimings } from '../../src/gateway/table-reads/read-timing.js';
import { createPeers } from '../fixtures/fleet-driver.js';
import { createEndpoint, GatewayDriver } from '../fixtures/gateway-driver.js';

/** Bounds as they stand in settings: the tightest, half of it, and a loose one. */
const CONTRACTS: readonly (readonly [string, Partial<GatewayContract>])[] = [
  ['the tightest bounds', { leavingNoticeMs: 2_000, applyMs: 2_000, resyncMs: 3_000 }],
  ['half of the tightest bounds', { leavingNoticeMs: 1_000, applyMs: 1_000, resyncMs: 1_500 }],
  ['loose bounds', { leavingNoticeMs: 4_000, applyMs: 4_000, resyncMs: 5_000 }],
];

const CUT_MS = 12_000;

let sequence = 0;

const createDriver = (contract: Partial<GatewayContract>): GatewayDriver => {
  const driver = new GatewayDriver(createGatewayContract(contract));
  driver.start([createEndpoint('e1'), createEndpoint('e2')]);
  driver.advance(3_000);
  driver.confirm();
  return driver;
};

/** A peer tells for how long the store has answered it. */
const hearPeer = (driver: GatewayDriver, storeAvailableMs: number | undefined): void => {
  const [from] = createPeers('b', 1);
  sequence += 1;
  driver.dispatch({
    kind: 'peer.received',
    snapshot: { from: from!, incarnation: 1, sequence, work: [], storeAvailableMs },
  });
};

/** The store does not answer a read that leaves now, for the time of a cut. */
const cutOff = (driver: GatewayDriver): void => {
  const requestedAtMs = driver.nowMs;
  driver.advance(700);
  driver.dispatch({ kind: 'store.failed', detail: 'test', requestedAtMs });
  driver.advance(CUT_MS - 700);
};

/** The store answers again, and does not list `e1`, which has left meanwhile. */
const reconnect = (driver: GatewayDriver): void => {
  driver.dispatch({ kind: 'endpoints.read', endpoints: [createEndpoint('e2')] });
};

/** Lists the endpoints that the next requests get, each after the one before it has ended. */
const listUsed = (driver: GatewayDriver): Set<string | undefined> =>
  new Set(
    Array.from({ length: 20 }, () => {
      const requestId = driver.request('/chat/');
      const endpoint = driver.findAttempt(requestId)?.endpoint.id;
      driver.dispatch({ kind: 'request.abandoned', requestId });
      return endpoint;
    }),
  );

describe.each(CONTRACTS)('an entry VM that was cut off from the store, with %s', (_, contract) => {
  it('sends nothing to an endpoint that has gone, if a peer had contact all the while', () => {
    const driver = createDriver(contract);
    cutOff(driver);
    hearPeer(driver, 60_000);
    reconnect(driver);
    expect(listUsed(driver)).toEqual(new Set(['e2']));
  });

  it('does so as soon as a peer tells it', () => {
    const driver = createDriver(contract);
    cutOff(driver);
    reconnect(driver);
    expect(listUsed(driver)).toContain('e1');
    hearPeer(driver, 60_000);
    expect(listUsed(driver)).toEqual(new Set(['e2']));
  });

  it('retains missing endpoints if peers lost the store as well, or tell nothing', () => {
    const driver = createDriver(contract);
    cutOff(driver);
    hearPeer(driver, CUT_MS / 2);
    hearPeer(driver, undefined);
    reconnect(driver);
    hearPeer(driver, 500);
    expect(listUsed(driver)).toContain('e1');
  });

  it('does not rely on what a peer told seconds ago', () => {
    const driver = createDriver(contract);
    const requestedAtMs = driver.nowMs;
    driver.advance(700);
    driver.dispatch({ kind: 'store.failed', detail: 'test', requestedAtMs });
    hearPeer(driver, 60_000);
    driver.advance(CUT_MS);
    reconnect(driver);
    expect(listUsed(driver)).toContain('e1');
  });

  it('takes no read that left in the cut, and fails after it, for a new outage', () => {
    const driver = createDriver(contract);
    cutOff(driver);
    const requestedAtMs = driver.nowMs - 1;
    reconnect(driver);
    const regainedAtMs = driver.nowMs;
    driver.advance(500);
    driver.dispatch({ kind: 'store.failed', detail: 'lost in the cut', requestedAtMs });
    driver.dispatch({ kind: 'endpoints.changed', changes: [] });
    const { resyncMs } = createGatewayContract(contract);
    driver.advance(0.75 * resyncMs - (driver.nowMs - regainedAtMs) + 1);
    expect(listUsed(driver)).toEqual(new Set(['e2']));
    expect(driver.list('log').filter(({ event }) => event.name === 'storeLost')).toHaveLength(1);
  });

  it('reads all tables at once when the store answers again', () => {
    const driver = createDriver(contract);
    cutOff(driver);
    reconnect(driver);
    expect(driver.list('tables.readNow')).toHaveLength(1);
  });
});

/** What the last snapshot tells of the contact with the store. */
const findToldContact = (driver: GatewayDriver): number | undefined =>
  driver.list('peers.send').at(-1)?.snapshot.storeAvailableMs;

describe('what an entry VM tells of its contact with the store', () => {
  it('grows while the store answers, and ends with an outage', () => {
    const driver = createDriver({});
    driver.dispatch({ kind: 'peers.read', peers: createPeers('b', 1) });
    driver.advance(1_000);
    expect(findToldContact(driver)).toBeGreaterThanOrEqual(1_000);
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(1_000);
    expect(findToldContact(driver)).toBeUndefined();
  });

  it('begins anew after a suspension, in which the store may have been away', () => {
    const driver = createDriver({});
    driver.dispatch({ kind: 'peers.read', peers: createPeers('b', 1) });
    driver.advance(1_000);
    driver.dispatch({ kind: 'time.lost', lostMs: 10_000 });
    driver.advance(500);
    expect(findToldContact(driver)).toBeUndefined();
    driver.confirm();
    driver.advance(500);
    expect(findToldContact(driver)).toBeLessThanOrEqual(500);
  });
});

describe.each(CONTRACTS)('the reads of the store, with %s', (_, changes) => {
  const contract = createGatewayContract(changes);
  const timings = computeReadTimings(contract);

  it('notice and repeat a lost read of the registrations in time', () => {
    const { longPollMs, responseTimeoutMs, maxBackoffMs } = timings.endpoints;
    expect(longPollMs + responseTimeoutMs + maxBackoffMs).toBeLessThan(contract.resyncMs);
    expect(longPollMs).toBeLessThanOrEqual(contract.leavingNoticeMs);
  });

  it('return a change that follows another one in half of the time of the tightest bound', () => {
    const { changePauseMs, responseTimeoutMs } = timings.endpoints;
    const { credentialFreshnessMs, leavingNoticeMs, applyMs, resyncMs } = contract;
    const boundMs = Math.min(credentialFreshnessMs, leavingNoticeMs, applyMs, resyncMs);
    expect(timings.configuration.changePauseMs).toBe(changePauseMs);
    expect(changePauseMs + responseTimeoutMs).toBeLessThanOrEqual(boundMs / 2);
  });

  it('notice and repeat a lost read of the configuration in time', () => {
    const { pollIntervalMs, responseTimeoutMs, maxBackoffMs } = timings.configuration;
    const noticedMs = pollIntervalMs! + responseTimeoutMs + maxBackoffMs;
    expect(noticedMs).toBeLessThan(contract.resyncMs);
    expect(noticedMs).toBeLessThan(contract.credentialFreshnessMs);
  });
});
