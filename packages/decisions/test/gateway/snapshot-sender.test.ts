import { createGatewayContract } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import { createPeers, FleetDriver, LARGE_FLEET } from '../fixtures/fleet-driver.js';
import { createEndpoint } from '../fixtures/gateway-driver.js';

describe('snapshots of the work of an entry VM', () => {
  it('go to all peers of a small fleet after each change', () => {
    const driver = new FleetDriver(['a', 'b', 'c'].flatMap((domain) => createPeers(domain, 3)));
    driver.request('/chat/');
    driver.advance(1);
    expect(driver.takeDatagrams()).toEqual({ a: 3, b: 3, c: 3 });
  });

  it('go only to peers of the own failure domain after a change in a large fleet', () => {
    const driver = new FleetDriver(LARGE_FLEET);
    driver.request('/chat/');
    driver.advance(1);
    expect(driver.takeDatagrams()).toEqual({ a: 21 });
  });

  it('reach each peer of other failure domains of a large fleet every 500 ms', () => {
    const driver = new FleetDriver(LARGE_FLEET);
    driver.advance(500);
    const { b, c, d } = driver.takeDatagrams();
    expect([b, c, d]).toEqual([21, 21, 21]);
  });

  it('to other failure domains do not grow in number with the fleet', () => {
    const fleet = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].flatMap((name) => createPeers(name, 24));
    const driver = new FleetDriver(fleet);
    driver.advance(1_000);
    const { a: own = 0, ...others } = driver.takeDatagrams();
    const sum = Object.values(others).reduce((total, count) => total + count, 0);
    expect(own).toBeGreaterThan(0);
    expect(sum).toBeLessThanOrEqual(4 * 36);
  });

  it('take no more than a fifth of a slow link, although work changes all the time', () => {
    const linkBytesPerMs = 200;
    const driver = new FleetDriver(LARGE_FLEET, linkBytesPerMs);
    for (let count = 0; count < 200; count += 1) {
      driver.request('/chat/');
      driver.advance(10);
      if (count % 50 === 0) driver.receiveAll();
    }
    const counts = driver.takeDatagrams();
    const datagrams = Object.values(counts).reduce((total, count) => total + count, 0);
    const smallestDatagramBytes = 100;
    expect(datagrams).toBeGreaterThan(0);
    expect(datagrams * smallestDatagramBytes).toBeLessThan(0.2 * linkBytesPerMs * 2_000);
  });

  it('tell all peers of a large fleet of a long prompt at once', () => {
    const driver = new FleetDriver(LARGE_FLEET);
    driver.request('/review/', { promptTokens: 50_000 });
    expect(driver.takeDatagrams()).toEqual({ a: 21, b: 21, c: 21, d: 21 });
  });

  it('tell a long prompt to no more peers in a larger fleet', () => {
    const fleet = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].flatMap((name) => createPeers(name, 24));
    const driver = new FleetDriver(fleet);
    driver.receiveAll();
    driver.request('/review/', { promptTokens: 50_000 });
    const { a: own, ...others } = driver.takeDatagrams();
    const sum = Object.values(others).reduce((total, count) => total + count, 0);
    expect(own).toBe(24);
    expect(sum).toBeLessThanOrEqual(96 - 24);
  });

  it('tell a long prompt elsewhere to all peers of the own failure domain, the last ones known as well', () => {
    const names = ['b', 'c', 'd', 'e', 'f', 'g', 'h', 'a'];
    const driver = new FleetDriver(names.flatMap((name) => createPeers(name, 24)));
    const endpoints = [createEndpoint('elsewhere', { failureDomain: 'b' })];
    driver.dispatch({ kind: 'endpoints.read', endpoints });
    driver.takeDatagrams();
    driver.request('/review/', { promptTokens: 50_000 });
    expect(driver.takeDatagrams()).toMatchObject({ a: 24, b: 24 });
  });

  it('take no more than a fifth of a slow link, although long prompts begin all the time', () => {
    const linkBytesPerMs = 200;
    const driver = new FleetDriver(LARGE_FLEET, linkBytesPerMs);
    for (let count = 0; count < 200; count += 1) {
      driver.request('/review/', { promptTokens: 50_000 });
      driver.advance(10);
      if (count % 50 === 0) driver.receiveAll();
    }
    const counts = driver.takeDatagrams();
    const datagrams = Object.values(counts).reduce((total, count) => total + count, 0);
    const smallestDatagramBytes = 100;
    expect(datagrams).toBeGreaterThan(0);
    expect(datagrams * smallestDatagramBytes).toBeLessThan(0.2 * linkBytesPerMs * 2_000);
  });

  it('use the rate of the link from reloaded settings', () => {
    const driver = new FleetDriver(LARGE_FLEET, 1);
    driver.request('/chat/');
    driver.advance(10);
    expect(driver.takeDatagrams()).toEqual({});
    driver.dispatch({
      kind: 'contract.changed',
      contract: createGatewayContract({ linkBytesPerMs: 125_000 }),
    });
    driver.advance(60_000);
    driver.receiveAll();
    driver.takeDatagrams();
    driver.request('/chat/');
    driver.advance(1);
    expect(driver.takeDatagrams()).toEqual({ a: 21 });
  });
});

describe('a failure domain of a large fleet with a single entry VM', () => {
  it('counts as reachable between the periodic snapshots of that VM', () => {
    const fleet = [
      ...['a', 'b', 'c', 'd'].flatMap((name) => createPeers(name, 24)),
      ...createPeers('z', 1),
    ];
    const driver = new FleetDriver(fleet);
    driver.dispatch({
      kind: 'endpoints.read',
      endpoints: [createEndpoint('only', { failureDomain: 'z' }), createEndpoint('a1')],
    });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'a1', endpoint: undefined }] });
    driver.dispatch({
      kind: 'endpoints.changed',
      changes: [{ id: 'a2', endpoint: createEndpoint('a2') }],
    });
    driver.advance(700);
    driver.receiveAll('a');
    const ids = Array.from({ length: 8 }, () => driver.request('/chat/'));
    const domains = ids.map((id) => driver.findAttempt(id)?.endpoint.failureDomain);
    expect(domains).toContain('z');
  });
});
