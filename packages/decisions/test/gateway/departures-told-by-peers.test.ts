import type { LeavingObservation } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createPeers } from '../fixtures/fleet-driver.js';
import { createEndpoint, startDriver, type GatewayDriver } from '../fixtures/gateway-driver.js';

const REQUESTS = 20;

/** Time for which the word of a peer counts without being repeated. */
const TOLD_MEMORY_MS = 10_000;

const [PEER] = createPeers('b', 1);

let sequence = 0;

const tell = (driver: GatewayDriver, ...leaving: readonly LeavingObservation[]): void => {
  sequence += 1;
  const snapshot = { from: PEER!, incarnation: 1, sequence, work: [], leaving };
  driver.dispatch({ kind: 'peer.received', snapshot });
};

const observe = (endpoint: string, startedAtMs = 1): LeavingObservation => ({
  endpoint,
  startedAtMs,
  ageMs: 40,
});

const reportLeaving = (driver: GatewayDriver, id: string): void =>
  driver.dispatch({
    kind: 'endpoint.noticeReported',
    endpoint: { id, startedAtMs: 1 },
    notice: { leaving: 'yes', retryAfterMs: 'none' },
  });

const listPlaced = (driver: GatewayDriver): Set<string> => {
  const placed = Array.from({ length: REQUESTS }, () => {
    const { attemptId, endpoint } = driver.findAttempt(driver.request('/chat/'))!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    return endpoint.id;
  });
  return new Set(placed);
};

const listTold = (driver: GatewayDriver): unknown[] =>
  driver.list('log').filter(({ event }) => event.name === 'endpointLeavingTold');

describe('an endpoint that leaves', () => {
  it('is told to peers with the next snapshot, with its process and the age', () => {
    const driver = startDriver('e1', 'e2');
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    driver.advance(500);
    tell(driver);
    const sent = driver.list('peers.send').length;
    reportLeaving(driver, 'e1');
    driver.advance(1);
    expect(driver.list('peers.send').length).toBeGreaterThan(sent);
    const [observation] = driver.list('peers.send').at(-1)!.snapshot.leaving!;
    expect(observation).toEqual({ endpoint: 'e1', startedAtMs: 1, ageMs: 1 });
    driver.advance(1_000);
    expect(driver.list('peers.send').at(-1)!.snapshot.leaving![0]!.ageMs).toBeGreaterThan(500);
  });

  it('is no longer told once another process is registered', () => {
    const driver = startDriver('e1', 'e2');
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    reportLeaving(driver, 'e1');
    const endpoint = createEndpoint('e1', { startedAtMs: 2 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    driver.advance(500);
    expect(driver.list('peers.send').at(-1)!.snapshot.leaving).toBeUndefined();
  });

  it('is told among a bounded number, the newest ones', () => {
    const ids = Array.from({ length: 40 }, (_, index) => `e${index}`);
    const driver = startDriver(...ids);
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    ids.forEach((id) => {
      driver.advance(10);
      reportLeaving(driver, id);
    });
    driver.advance(1_000);
    const { leaving } = driver.list('peers.send').at(-1)!.snapshot;
    expect(leaving).toHaveLength(32);
    expect(leaving![0]!.endpoint).toBe('e39');
  });
});

describe('what a peer says of endpoints that leave', () => {
  it('has other endpoints preferred, and is logged once', () => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observe('e1'));
    tell(driver, observe('e1'));
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
    expect(listTold(driver)).toHaveLength(1);
  });

  it('does not empty a service', () => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observe('e1'), observe('e2'));
    expect(listPlaced(driver)).toEqual(new Set(['e1', 'e2']));
  });

  it('is not told on, as this entry VM has not seen it', () => {
    const driver = startDriver('e1', 'e2');
    driver.dispatch({ kind: 'peers.read', peers: [PEER!] });
    tell(driver, observe('e1'));
    driver.advance(500);
    expect(driver.list('peers.send').at(-1)!.snapshot.leaving).toBeUndefined();
  });

  it.each([
    ['an unknown endpoint', observe('e9')],
    ['an earlier process', observe('e1', 0)],
    ['a process that is not registered yet', observe('e1', 2)],
  ])('is ignored of %s', (_, observation) => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observation);
    expect(listPlaced(driver)).toContain('e1');
    expect(listTold(driver)).toHaveLength(0);
  });

  it('does not concern the successor of the process', () => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observe('e1'));
    const endpoint = createEndpoint('e1', { startedAtMs: 2 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    tell(driver, observe('e1'));
    expect(listPlaced(driver)).toContain('e1');
  });

  it('counts for the same process when its registration has lapsed', () => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observe('e1'));
    [undefined, createEndpoint('e1')].forEach((endpoint) =>
      driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] }),
    );
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
  });

  it('does not revive an endpoint that told this entry VM itself', () => {
    const driver = startDriver('e1', 'e2');
    reportLeaving(driver, 'e1');
    reportLeaving(driver, 'e2');
    tell(driver);
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
  });

  it('ends some seconds after the peer has stopped to say it', () => {
    const driver = startDriver('e1', 'e2');
    tell(driver, observe('e1'));
    driver.advance(TOLD_MEMORY_MS);
    driver.confirm();
    expect(listPlaced(driver)).toContain('e1');
  });
});
