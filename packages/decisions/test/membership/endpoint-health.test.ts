import type { Configuration } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { EndpointHealth } from '../../src/membership/endpoint-health.js';
import {
  EJECTION_BASE_MS,
  FAILURES_BEFORE_EJECTION,
  LEAVING_HOLD_DOWN_MS,
  SLOW_START_MIN_FRACTION,
  SLOW_START_MS,
} from '../../src/membership/health-consts.js';
import { createConfiguration, createEngine } from '../fixtures/configurations.js';
import { createTestContext } from '../fixtures/contexts.js';

const listEngineIds = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `engine-a${index + 1}`);

const createHealth = (engines: number) => {
  let configuration: Configuration = createConfiguration({
    endpoints: listEngineIds(engines).map((id) => createEngine({ id })),
  });
  const { context, advance } = createTestContext();
  const health = new EndpointHealth(context, () => configuration);
  const fail = (id: string, times: number): void => {
    for (let count = 0; count < times; count += 1) health.recordOutcome(id, 'broken');
  };
  const declare = (next: Configuration): void => {
    configuration = next;
  };
  return { health, advance, fail, declare };
};

describe('EndpointHealth', () => {
  it('ejects an endpoint after consecutive failures and readmits it with a growing fraction of traffic', () => {
    const { health, advance, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    expect(health.readTrafficFraction('engine-a1')).toBe(1);
    fail('engine-a1', 1);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(EJECTION_BASE_MS);
    const early = health.readTrafficFraction('engine-a1');
    expect(early).toBeGreaterThanOrEqual(SLOW_START_MIN_FRACTION);
    expect(early).toBeLessThan(1);
    advance(SLOW_START_MS);
    expect(health.readTrafficFraction('engine-a1')).toBe(1);
  });

  it('resets the failure count on an answer', () => {
    const { health, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    health.recordOutcome('engine-a1', 'answered');
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    expect(health.readTrafficFraction('engine-a1')).toBe(1);
  });

  it('does not count a rejection as a failure', () => {
    const { health } = createHealth(3);
    for (let count = 0; count < 100; count += 1) health.recordOutcome('engine-a1', 'rejected');
    expect(health.readTrafficFraction('engine-a1')).toBe(1);
  });

  it('ejects again, for longer, on the first failure during slow start', () => {
    const { health, advance, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION);
    advance(EJECTION_BASE_MS);
    fail('engine-a1', 1);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(EJECTION_BASE_MS - 1);
    expect(health.isUsable('engine-a1')).toBe(false);
  });

  it.each([1, 2, 3, 4, 15])('never ejects all endpoints of a pool of %i', (engines) => {
    const { health, fail } = createHealth(engines);
    listEngineIds(engines).forEach((id) => fail(id, 100));
    const usable = listEngineIds(engines).filter((id) => health.isUsable(id));
    expect(usable.length).toBeGreaterThanOrEqual(Math.max(1, Math.ceil(engines / 4)));
  });

  it('reports an endpoint that is declared leaving as not usable', () => {
    const { health, declare } = createHealth(2);
    const endpoints = listEngineIds(2).map((id) => createEngine({ id, state: 'leaving' }));
    declare(createConfiguration({ endpoints }));
    expect(health.isUsable('engine-a1')).toBe(false);
  });

  it('ignores live in a list until the hold-down after leaving has passed', () => {
    const { health, advance } = createHealth(2);
    expect(health.applyListed([{ endpoint: 'engine-a1', state: 'leaving' }])).toEqual([
      'engine-a1',
    ]);
    health.applyListed([{ endpoint: 'engine-a1', state: 'live' }]);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(LEAVING_HOLD_DOWN_MS);
    expect(health.isUsable('engine-a1')).toBe(false);
    health.applyListed([{ endpoint: 'engine-a1', state: 'live' }]);
    expect(health.isUsable('engine-a1')).toBe(true);
  });
});
