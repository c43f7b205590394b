import { beforeEach, describe, expect, it } from 'vitest';
import type { RequestLimitReport } from '../../src/gateway/types.js';
import { createPeers } from '../fixtures/fleet-driver.js';
import { createEndpoint, startDriver, type GatewayDriver } from '../fixtures/gateway-driver.js';

/** Time until a permit of the only VM can be used, at a limit of 20 requests per second. */
const PERMIT_DELAY_MS = 65;

const SUSPENSION_MS = 5_000;

let driver: GatewayDriver;

beforeEach(() => {
  driver = startDriver('e1');
});

const report = (requestId: string, limit: RequestLimitReport): void => {
  const { attemptId } = driver.findAttempt(requestId)!;
  driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit });
};

const listLogged = (): string[] => driver.list('log').map(({ event }) => event.name);

describe('the limit of an endpoint', () => {
  it('is in force from the first response that names it, and logged once', () => {
    const id = driver.request('/chat/');
    report(id, 1.5);
    report(id, 1.5);
    expect(driver.limitUsage.limitedEndpoints).toBe(1);
    expect(listLogged().filter((name) => name === 'endpointLimited')).toHaveLength(1);
  });

  it('ends with a response without it to an attempt that started later', () => {
    const first = driver.request('/chat/');
    report(first, 20);
    driver.advance(100);
    const later = driver.request('/chat/');
    driver.advance(PERMIT_DELAY_MS);
    report(later, 'none');
    expect(driver.limitUsage.limitedEndpoints).toBe(0);
    expect(listLogged()).toContain('endpointLimitEnded');
  });

  it('does not end with a response to an attempt that started before it was named', () => {
    const early = driver.request('/chat/');
    driver.advance(10);
    report(driver.request('/chat/'), 20);
    driver.advance(100);
    report(early, 'none');
    expect(driver.limitUsage.limitedEndpoints).toBe(1);
  });

  it('stays as it is if a response names one that can’t be decoded', () => {
    const id = driver.request('/chat/');
    report(id, 20);
    report(id, 'unreadable');
    expect(driver.limitUsage.limitedEndpoints).toBe(1);
    expect(listLogged()).toContain('endpointLimitUnreadable');
  });

  it('is forgotten when the endpoint restarts under the same id', () => {
    report(driver.request('/chat/'), 20);
    const endpoint = createEndpoint('e1', { startedAtMs: 2 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    expect(driver.limitUsage.limitedEndpoints).toBe(0);
  });

  it('that has ended is told to peers with an age that counts a suspension', () => {
    report(driver.request('/chat/'), 20);
    driver.advance(100);
    const later = driver.request('/chat/');
    driver.advance(PERMIT_DELAY_MS);
    report(later, 'none');
    driver.dispatch({ kind: 'time.lost', lostMs: SUSPENSION_MS });
    driver.dispatch({ kind: 'peers.read', peers: createPeers('b', 1) });
    driver.advance(1);
    const [limit] = driver.list('peers.send').at(-1)!.snapshot.limits!;
    expect(limit).toMatchObject({ endpoint: 'e1', perSecond: undefined });
    expect(limit!.ageMs).toBeGreaterThanOrEqual(SUSPENSION_MS);
  });

  it('counts the attempts that were started while it was in force', () => {
    report(driver.request('/chat/'), 20);
    expect(driver.limitUsage.attempts).toBe(0);
    driver.advance(100);
    driver.request('/chat/');
    driver.advance(PERMIT_DELAY_MS);
    expect(driver.limitUsage.attempts).toBe(1);
  });
});
