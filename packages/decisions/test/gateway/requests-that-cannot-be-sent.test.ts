import { describe, expect, it } from 'vitest';
import { createHead, startDriver, type GatewayDriver } from '../fixtures/gateway-driver.js';

const listTried = (driver: GatewayDriver, requestId: string): string[] =>
  driver
    .list('attempt.start')
    .filter((effect) => effect.requestId === requestId)
    .map(({ endpoint }) => endpoint.id);

const countTries = (driver: GatewayDriver, requestId: string): number =>
  listTried(driver, requestId).length;

describe('a request that can’t be put into bytes', () => {
  it.each([
    ['/chat/', 2],
    // Their service has one endpoint.
    ['/booking/', 1],
    ['/balance/', 1],
  ])('is tried twice, whatever its route, and refused as not run: %s', (path, endpoints) => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    const id = driver.request(path);
    while (driver.findRefusal(id) === undefined) driver.fail(id, 'unsendable');
    const tried = listTried(driver, id);
    expect(tried).toHaveLength(2);
    expect(new Set(tried).size).toBe(endpoints);
    expect(driver.findRefusal(id)?.reason).toBe('rejected');
    expect(driver.findRefusal(id)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('does not have its endpoints ejected, however many there are of it', () => {
    const driver = startDriver('e1', 'e2');
    for (let count = 0; count < 20; count += 1) {
      const id = driver.request('/chat/');
      while (driver.findRefusal(id) === undefined) driver.fail(id, 'unsendable');
    }
    // Work is spread over both endpoints as before.
    const ids = Array.from({ length: 8 }, () => driver.request('/chat/'));
    const used = new Set(ids.map((id) => driver.findAttempt(id)?.endpoint.id));
    expect(used).toEqual(new Set(['e1', 'e2']));
    expect(driver.list('endpoint.forgotten')).toEqual([]);
    expect(driver.list('path.probe')).toEqual([]);
  });

  it('takes nothing from the budget for retries', () => {
    const driver = startDriver('e1', 'e2');
    for (let count = 0; count < 100; count += 1) {
      const id = driver.request('/balance/');
      while (driver.findRefusal(id) === undefined) driver.fail(id, 'unsendable');
    }
    const id = driver.request('/balance/');
    driver.fail(id, 'rejected');
    expect(countTries(driver, id)).toBe(2);
  });

  it('is broken off if the caller has a part of the response', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head: createHead() });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '1' });
    driver.fail(id, 'broken');
    driver.fail(id, 'unsendable');
    driver.fail(id, 'unsendable');
    expect(driver.list('caller.breakOff').map(({ requestId }) => requestId)).toEqual([id]);
    expect(driver.findRefusal(id)).toBeUndefined();
  });

  it('is not refused as not run if an endpoint may have run it before', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const id = driver.request('/balance/');
    driver.fail(id, 'broken');
    while (driver.findRefusal(id) === undefined) driver.fail(id, 'unsendable');
    expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });
});

describe('an endpoint that can’t get a request which another one gets', () => {
  it('is ejected once the other one has answered', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const bad = driver.findAttempt(id)!.endpoint.id;
    driver.fail(id, 'unsendable');
    const { attemptId, endpoint } = driver.findAttempt(id)!;
    expect(endpoint.id).not.toBe(bad);
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head: createHead() });
    const ids = Array.from({ length: 4 }, () => driver.request('/chat/'));
    ids.forEach((next) => expect(driver.findAttempt(next)?.endpoint.id).not.toBe(bad));
  });

  it('is ejected as well if the other one got it and failed', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const id = driver.request('/chat/');
    const bad = driver.findAttempt(id)!.endpoint.id;
    driver.fail(id, 'unsendable');
    driver.fail(id, 'rejected');
    const ids = Array.from({ length: 4 }, () => driver.request('/chat/'));
    ids.forEach((next) => expect(driver.findAttempt(next)?.endpoint.id).not.toBe(bad));
  });
});

describe('a machine without descriptors for another connection', () => {
  it('refuses requests as not run, and ejects no endpoint', () => {
    const driver = startDriver('e1', 'e2');
    for (let count = 0; count < 20; count += 1) {
      const id = driver.request('/chat/');
      while (driver.findRefusal(id) === undefined) driver.fail(id, 'noResources');
      expect(driver.findRefusal(id)?.reason).toBe('rejected');
      expect(countTries(driver, id)).toBeLessThanOrEqual(4);
    }
    const ids = Array.from({ length: 8 }, () => driver.request('/chat/'));
    const used = new Set(ids.map((id) => driver.findAttempt(id)?.endpoint.id));
    expect(used).toEqual(new Set(['e1', 'e2']));
    expect(driver.list('path.probe')).toEqual([]);
  });
});
