import { describe, expect, it } from 'vitest';
import { createEndpoint, GatewayDriver } from '../fixtures/gateway-driver.js';

/** Starts with engines in both domains and a snapshot from a peer in domain `b`. */
const startWithDomains = (): GatewayDriver => {
  const driver = new GatewayDriver();
  const ids = ['b1', 'b2', 'b3', 'a1', 'a2'];
  driver.start(ids.map((id) => createEndpoint(id, { failureDomain: id.slice(0, 1) })));
  driver.receiveSnapshot(1, []);
  return driver;
};

const listDomains = (driver: GatewayDriver, ids: readonly string[]): (string | undefined)[] =>
  ids.map((id) => driver.findAttempt(id)?.endpoint.failureDomain);

const requestAll = (driver: GatewayDriver): string[] =>
  Array.from({ length: 4 }, () => driver.request('/chat/'));

describe('a failure domain', () => {
  it('gets no work after its entry VMs have stopped sending snapshots', () => {
    const driver = startWithDomains();
    driver.advance(700);
    expect(listDomains(driver, requestAll(driver))).toEqual(['a', 'a', 'a', 'a']);
  });

  it('gets work again after the next snapshot of its entry VMs', () => {
    const driver = startWithDomains();
    driver.advance(700);
    driver.receiveSnapshot(2, []);
    expect(listDomains(driver, requestAll(driver))).toContain('b');
  });

  it('keeps its work while its endpoints respond, although its entry VMs send no snapshots', () => {
    const driver = startWithDomains();
    const id = driver.request('/chat/');
    expect(driver.findAttempt(id)?.endpoint.failureDomain).toBe('b');
    driver.advance(600);
    driver.sendEvent(id, '1');
    driver.advance(200);
    expect(listDomains(driver, requestAll(driver))).toContain('b');
  });

  it('gets no work as soon as two of its endpoints are lost without any contact in between', () => {
    const driver = startWithDomains();
    driver.advance(100);
    const first = driver.request('/chat/');
    const second = driver.request('/chat/', { promptTokens: 20_000 });
    expect(new Set(listDomains(driver, [first, second]))).toEqual(new Set(['b']));
    const ids = [first, second].map((id) => driver.findAttempt(id)!.endpoint.id);
    expect(new Set(ids).size).toBe(2);
    [first, second].forEach((id) => driver.fail(id, 'broken'));
    expect(listDomains(driver, requestAll(driver))).toEqual(['a', 'a', 'a', 'a']);
    driver.receiveSnapshot(2, []);
    expect(listDomains(driver, requestAll(driver))).toContain('b');
  });

  it('passes a request that lost its endpoint to the entry VM’s own domain', () => {
    const driver = startWithDomains();
    const id = driver.request('/chat/');
    expect(listDomains(driver, [id])).toEqual(['b']);
    driver.fail(id, 'broken');
    expect(listDomains(driver, [id])).toEqual(['a']);
  });

  it('is tried again where its entry VMs may have been removed for good', () => {
    const driver = startWithDomains();
    driver.advance(21_000);
    driver.confirm();
    expect(listDomains(driver, requestAll(driver))).toContain('b');
  });

  it('gets work although unreachable where there is no other', () => {
    const driver = new GatewayDriver();
    driver.start([createEndpoint('b1', { failureDomain: 'b' })]);
    driver.receiveSnapshot(1, []);
    driver.advance(700);
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('b1');
  });
});
