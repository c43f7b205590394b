import { beforeEach, describe, expect, it } from 'vitest';
import type { ColdBound, GatewayEndpoint } from '@savorywind/model';
import { createGatewayContract } from '@savorywind/stand-ins';
import { COLD_BOUND, createColdServices } from '../fixtures/cold-fleets.js';
import { createPeers } from '../fixtures/fleet-driver.js';
import {
  createConfiguration,
  createEndpoint,
  createHead,
  GatewayDriver,
} from '../fixtures/gateway-driver.js';

/** Requests that this VM, which is the only one, may start at a cold endpoint in 1.4 s. */
const SHARE = 19;

const SHARE_WINDOW_MS = 1_400;

const COLD_MS = 3_000;

const createCold = (id: string, changes: Partial<GatewayEndpoint> = {}): GatewayEndpoint =>
  createEndpoint(id, { slots: 100, coldForMs: COLD_MS, ...changes });

/** A plain service whose replicas may be cold. */
const PLAIN = { name: 'booking', engine: undefined };

let driver: GatewayDriver;

const read = (endpoint: GatewayEndpoint): void =>
  driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: endpoint.id, endpoint }] });

/** Starts a VM that knows its peers for long enough. */
const start = (
  coldBound: ColdBound | undefined = COLD_BOUND,
  services = createColdServices(),
): void => {
  driver = new GatewayDriver(createGatewayContract({ coldBound }));
  driver.start([], createConfiguration({ services }));
  driver.dispatch({ kind: 'peers.read', peers: [] });
  driver.advance(SHARE_WINDOW_MS);
};

const answer = ({ attemptId }: { readonly attemptId: string }): void => {
  driver.dispatch({ kind: 'attempt.headReceived', attemptId, head: createHead() });
  driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '1' });
  driver.dispatch({ kind: 'attempt.ended', attemptId });
};

/** Sends small requests at one moment, and counts those that are sent on, which are answered at once. */
const countSent = (requests: number): number => {
  const before = driver.list('attempt.start').length;
  Array.from({ length: requests }, () =>
    driver.request('/chat/', { promptTokens: 10, maxOutputTokens: 1 }),
  );
  const sent = driver.list('attempt.start').slice(before);
  sent.forEach((attempt) => answer(attempt));
  return sent.length;
};

const listLogged = (): string[] => driver.list('log').map(({ event }) => event.name);

beforeEach(() => start());

describe('an endpoint that is cold by its registration', () => {
  it('gets this VM’s share at once, and no more in 1.4 s', () => {
    read(createCold('e1'));
    expect(countSent(SHARE + 1)).toBe(SHARE);
    driver.advance(SHARE_WINDOW_MS - 1);
    expect(driver.list('attempt.start')).toHaveLength(SHARE);
    driver.advance(20);
    expect(driver.list('attempt.start')).toHaveLength(SHARE + 1);
  });

  it('is used like any other when its time is over', () => {
    read(createCold('e1'));
    driver.advance(COLD_MS);
    expect(countSent(40)).toBeGreaterThan(SHARE);
    expect(driver.coldUsage.coldEndpoints).toBe(0);
  });

  it('stays cold though a registration says that it is not, which may be older', () => {
    read(createCold('e1'));
    read(createCold('e1', { coldForMs: 0 }));
    expect(countSent(40)).toBe(SHARE);
  });

  it('is bounded from its first word on if it turns cold in mid-life, with what it got just before', () => {
    read(createCold('e1', { coldForMs: 0 }));
    expect(countSent(10)).toBe(10);
    read(createCold('e1'));
    expect(countSent(40)).toBe(SHARE - 10);
  });

  it('is no longer cold if another process takes its id, and cold if that one is', () => {
    read(createCold('e1'));
    countSent(SHARE);
    read(createCold('e1', { startedAtMs: 2, coldForMs: 0 }));
    expect(driver.coldUsage.coldEndpoints).toBe(0);
    read(createCold('e1', { startedAtMs: 3 }));
    expect(countSent(40)).toBe(SHARE);
  });

  it('of an earlier process does not make the later one cold', () => {
    read(createCold('e1', { startedAtMs: 2, coldForMs: 0 }));
    driver.dispatch({ kind: 'store.eraRaised', previousEra: 1, era: 2 });
    driver.dispatch({ kind: 'endpoints.read', endpoints: [createCold('e1')] });
    expect(driver.coldUsage.coldEndpoints).toBe(0);
  });

  it('is treated as just started when its failure domain is no longer evacuated', () => {
    const endpoint = createCold('e1', { coldForMs: 0 });
    const { failureDomain: domain } = endpoint;
    read(endpoint);
    const tell = (isEvacuated: boolean): void =>
      driver.dispatch({
        kind: 'evacuations.read',
        source: 'change',
        changes: [{ domain, isEvacuated }],
        requestedAtMs: driver.nowMs,
      });
    tell(true);
    expect(driver.coldUsage.coldEndpoints).toBe(0);
    tell(false);
    expect(countSent(40)).toBe(SHARE);
  });

  it('gets no long prompt where others serve it in time', () => {
    read(createCold('e1'));
    read(createCold('e2', { coldForMs: 0 }));
    const request = { promptTokens: 60_000, maxOutputTokens: 1 };
    Array.from({ length: 5 }, () => {
      driver.request('/review/', request);
      return answer(driver.list('attempt.start').at(-1)!);
    });
    const used = driver.list('attempt.start').map(({ endpoint }) => endpoint.id);
    expect(used).toEqual(['e2', 'e2', 'e2', 'e2', 'e2']);
  });

  it('gets no call of a plain service where another replica has room', () => {
    const booking = { service: 'booking', slots: 6 };
    start(COLD_BOUND, [...createColdServices(), ...createColdServices(PLAIN)]);
    read(createCold('b1', booking));
    read(createCold('b2', { ...booking, coldForMs: 0 }));
    Array.from({ length: 5 }, () => driver.request('/booking/'));
    const used = driver.list('attempt.start').map(({ endpoint }) => endpoint.id);
    expect(used.filter((id) => id === 'b1')).toHaveLength(1);
  });

  it('helps with no long prompt', () => {
    ['e1', 'e2', 'e3'].forEach((id) => read(createCold(id)));
    ['e4', 'e5'].forEach((id) => read(createCold(id, { coldForMs: 0 })));
    const id = driver.request('/review/', { promptTokens: 180_000 });
    driver.advance(4_000);
    const first = driver.list('attempt.start').find(({ requestId }) => requestId === id)!;
    expect(first.helpers.length).toBeLessThanOrEqual(1);
  });

  it('is not bounded where the deployment names no bound', () => {
    const contract = createGatewayContract({ coldBound: undefined });
    driver.dispatch({ kind: 'contract.changed', contract });
    read(createCold('e1'));
    expect(countSent(40)).toBeGreaterThan(SHARE);
  });

  it('is not bounded where its service declares no rate', () => {
    start(COLD_BOUND, createColdServices({ cold: undefined }));
    read(createCold('e1'));
    expect(countSent(40)).toBeGreaterThan(SHARE);
  });

  it('is shared with the VMs of its failure domain that are known, heard or not', () => {
    driver.dispatch({ kind: 'peers.read', peers: createPeers('a', 3) });
    read(createCold('e1'));
    expect([4, 5]).toContain(countSent(40));
  });

  it('is left to the VMs of its failure domain, and used from others if it has none', () => {
    read(createCold('e1', { failureDomain: 'b' }));
    expect(countSent(SHARE)).toBe(SHARE);
    driver.dispatch({ kind: 'peers.read', peers: createPeers('b', 1) });
    read(createCold('e2', { failureDomain: 'b' }));
    expect(countSent(5)).toBe(0);
  });

  it('gets nothing of a VM that does not know its peers, or has just learnt of them', () => {
    driver = new GatewayDriver(createGatewayContract({ coldBound: COLD_BOUND }));
    driver.start([], createConfiguration({ services: createColdServices() }));
    read(createCold('e1'));
    expect(countSent(1)).toBe(0);
    driver.dispatch({ kind: 'peers.read', peers: [] });
    driver.advance(SHARE_WINDOW_MS - 1);
    expect(countSent(1)).toBe(0);
    driver.advance(20);
    expect(driver.list('attempt.start').length).toBeGreaterThan(0);
  });

  it('is logged when it turns cold and when it is warm, with what it was sent', () => {
    read(createCold('e1'));
    countSent(3);
    driver.advance(COLD_MS);
    expect(listLogged()).toContain('endpointCold');
    const warm = driver.list('log').find(({ event }) => event.name === 'endpointWarm')!;
    expect(warm.fields).toEqual({ endpoint: 'e1', coldMs: COLD_MS, attempts: 3 });
    expect(driver.coldUsage.attempts).toBe(3);
  });
});
