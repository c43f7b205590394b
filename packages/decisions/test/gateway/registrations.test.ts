import { createGatewayContract } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import { createConfiguration, createEndpoint, startDriver } from '../fixtures/gateway-driver.js';

describe('registrations of endpoints', () => {
  it('give no new work to an endpoint that is leaving', () => {
    const driver = startDriver('e1');
    const endpoint = createEndpoint('e1', { state: 'leaving' });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
  });

  it('are retained during an outage of the store, when they expire', () => {
    const driver = startDriver('e1');
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.dispatch({ kind: 'endpoints.read', endpoints: [] });
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('e1');
  });

  it('that are still missing after the time to register again are removed', () => {
    const driver = startDriver('e1');
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.confirm();
    driver.advance(2_000);
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint: undefined }] });
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('e1');
    driver.advance(400);
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
  });

  it('are removed at once where the store is available', () => {
    const driver = startDriver('e1');
    driver.advance(100);
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint: undefined }] });
    expect(driver.list('endpoint.forgotten')).toHaveLength(1);
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
  });
});

describe('the configuration', () => {
  it('is never replaced by an older version', () => {
    const driver = startDriver('e1');
    driver.confirm(createConfiguration({ version: 3 }));
    driver.confirm(createConfiguration({ version: 2, routes: [] }));
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
  });

  it('admits credentials only while its confirmation by the store is fresh', () => {
    const driver = startDriver('e1');
    const credential = 'secret';
    expect(driver.findAttempt(driver.request('/private/', { credential }))?.team).toBe('counter');
    driver.advance(4_800);
    const refusal = driver.findRefusal(driver.request('/private/', { credential }));
    expect(refusal?.reason).toBe('credentialsStale');
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
    driver.confirm();
    expect(driver.findAttempt(driver.request('/private/', { credential }))?.team).toBe('counter');
  });

  it('expires earlier where the process was suspended, while running requests continue', () => {
    const driver = startDriver('e1');
    const credential = 'secret';
    const id = driver.request('/private/', { credential });
    driver.dispatch({ kind: 'time.lost', lostMs: 60_000 });
    const refusal = driver.findRefusal(driver.request('/private/', { credential }));
    expect(refusal?.reason).toBe('credentialsStale');
    driver.sendEvent(id, '1');
    expect(driver.list('attempt.cancel')).toHaveLength(0);
    expect(driver.findRefusal(id)).toBeUndefined();
  });

  it('expires after the new freshness time where the deployment’s limits change', () => {
    const driver = startDriver('e1');
    const contract = { ...createGatewayContract(), credentialFreshnessMs: 2_000 };
    driver.dispatch({ kind: 'contract.changed', contract });
    driver.advance(1_800);
    const refusal = driver.findRefusal(driver.request('/private/', { credential: 'secret' }));
    expect(refusal?.reason).toBe('credentialsStale');
  });

  it('refuses unknown credentials and routes without a retry-after time', () => {
    const driver = startDriver('e1');
    const refusal = driver.findRefusal(driver.request('/private/', { credential: 'wrong' }));
    expect(refusal).toEqual({ reason: 'wrongCredential', retryAfterMs: undefined });
    expect(driver.findRefusal(driver.request('/nowhere/'))?.reason).toBe('noRoute');
  });
});
