import type { EngineWork } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createPeers, FleetDriver, LARGE_FLEET } from '../fixtures/fleet-driver.js';
import { createEndpoint, createWork } from '../fixtures/gateway-driver.js';

const ENGINES = ['a1', 'a2', 'b1', 'b2'].map((id) =>
  createEndpoint(id, { failureDomain: id.slice(0, 1) }),
);

const STREAMS = { writers: 3, tightWriters: 3, tightGapMs: 250, memoryTokens: 15_000 };

/** Places a short prompt while a peer in domain `b` has the given work. */
const placeShortPrompt = (driver: FleetDriver, work: readonly EngineWork[]): string | undefined => {
  driver.dispatch({ kind: 'endpoints.read', endpoints: ENGINES });
  driver.receiveFrom('b-0', work);
  return driver.findAttempt(driver.request('/chat/'))?.endpoint.id;
};

describe('a short prompt', () => {
  it('joins the streams of any failure domain in a small fleet', () => {
    const driver = new FleetDriver([...createPeers('a', 2), ...createPeers('b', 3)]);
    expect(placeShortPrompt(driver, [createWork('b1', STREAMS)])).toBe('b1');
  });

  it('goes to an engine of the own failure domain in a large fleet', () => {
    const driver = new FleetDriver(LARGE_FLEET);
    expect(placeShortPrompt(driver, [createWork('b1', STREAMS)])).toMatch(/^a/);
  });

  it('goes to another failure domain in a large fleet if it would be late in the own one', () => {
    const driver = new FleetDriver(LARGE_FLEET);
    const reading = { readers: 1, longReaders: 1, readMs: 5_000 };
    const work = [createWork('a1', reading), createWork('a2', reading)];
    expect(placeShortPrompt(driver, work)).toMatch(/^b/);
  });
});
