import type { Configuration } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { EndpointHealth } from '../../src/membership/endpoint-health.js';
import {
  EJECTION_BASE_MS,
  FAILURES_BEFORE_EJECTION,
  LEAVING_HOLD_MS,
  RETURN_MIN_SHARE,
  RETURN_MS,
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
    for (let count = 0; count < times; count += 1) health.acceptOutcome(id, 'broken');
  };
  const declare = (next: Configuration): void => {
    configuration = next;
  };
  return { health, advance, fail, declare };
};

describe('EndpointHealth', () => {
  it('ejects after failures in a row, and lets the endpoint come back step by step', () => {
    const { health, advance, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    expect(health.readShare('engine-a1')).toBe(1);
    fail('engine-a1', 1);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(EJECTION_BASE_MS);
    const early = health.readShare('engine-a1');
    expect(early).toBeGreaterThanOrEqual(RETURN_MIN_SHARE);
    expect(early).toBeLessThan(1);
    advance(RETURN_MS);
    expect(health.readShare('engine-a1')).toBe(1);
  });

  it('counts no failures over an answer between them', () => {
    const { health, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    health.acceptOutcome('engine-a1', 'answered');
    fail('engine-a1', FAILURES_BEFORE_EJECTION - 1);
    expect(health.readShare('engine-a1')).toBe(1);
  });

  it('takes a refusal for no failure', () => {
    const { health } = createHealth(3);
    for (let count = 0; count < 100; count += 1) health.acceptOutcome('engine-a1', 'rejected');
    expect(health.readShare('engine-a1')).toBe(1);
  });

  it('ejects again, and for longer, at the first failure while the endpoint is on trial', () => {
    const { health, advance, fail } = createHealth(3);
    fail('engine-a1', FAILURES_BEFORE_EJECTION);
    advance(EJECTION_BASE_MS);
    fail('engine-a1', 1);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(EJECTION_BASE_MS - 1);
    expect(health.isUsable('engine-a1')).toBe(false);
  });

  it.each([1, 2, 3, 4, 15])('never ejects all of a pool of %i', (engines) => {
    const { health, fail } = createHealth(engines);
    listEngineIds(engines).forEach((id) => fail(id, 100));
    const usable = listEngineIds(engines).filter((id) => health.isUsable(id));
    expect(usable.length).toBeGreaterThanOrEqual(Math.max(1, Math.ceil(engines / 4)));
  });

  it('gives no work to an endpoint that is declared leaving', () => {
    const { health, declare } = createHealth(2);
    const endpoints = listEngineIds(2).map((id) => createEngine({ id, state: 'leaving' }));
    declare(createConfiguration({ endpoints }));
    expect(health.isUsable('engine-a1')).toBe(false);
  });

  it('holds leaving for a while against a list that says live', () => {
    const { health, advance } = createHealth(2);
    expect(health.acceptListed([{ endpoint: 'engine-a1', state: 'leaving' }])).toEqual([
      'engine-a1',
    ]);
    health.acceptListed([{ endpoint: 'engine-a1', state: 'live' }]);
    expect(health.isUsable('engine-a1')).toBe(false);
    advance(LEAVING_HOLD_MS);
    expect(health.isUsable('engine-a1')).toBe(false);
    health.acceptListed([{ endpoint: 'engine-a1', state: 'live' }]);
    expect(health.isUsable('engine-a1')).toBe(true);
  });
});
