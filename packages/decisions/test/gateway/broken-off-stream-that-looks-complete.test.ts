import { createGatewayContract, createStreamRoute } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import type { GatewayResponseHead } from '../../src/gateway/types.js';
import {
  createConfiguration,
  createEndpoint,
  createHead,
  GatewayDriver,
  startDriver,
} from '../fixtures/gateway-driver.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4'];

const startWithAttempts = (maxAttempts: number): GatewayDriver => {
  const driver = new GatewayDriver(createGatewayContract({ retryAllowance: 1_000 }));
  const [route] = createConfiguration().routes;
  const routes = [createStreamRoute({ ...route!, maxAttempts })];
  driver.start(
    ENGINES.map((id) => createEndpoint(id)),
    createConfiguration({ routes }),
  );
  return driver;
};

/** Delivers the complete response of the engine that runs the request now. */
const respond = (driver: GatewayDriver, id: string, head: GatewayResponseHead): void => {
  const { attemptId } = driver.findAttempt(id)!;
  driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
  driver.dispatch({ kind: 'attempt.ended', attemptId });
};

/** Starts a stream that is broken off after the event 7, and is resumed at another engine. */
const breakOffStream = (driver: GatewayDriver): string => {
  const id = driver.request('/chat/');
  driver.sendEvent(id, '7');
  driver.fail(id, 'broken');
  return id;
};

const CASES: readonly [name: string, head: GatewayResponseHead][] = [
  ['500', createHead({ status: 500, content: 'whole' })],
  ['503', createHead({ status: 503, content: 'whole' })],
  ['400', createHead({ status: 400, content: 'whole' })],
  ['204', createHead({ status: 204, content: 'whole' })],
  ['200 without events', createHead({ content: 'whole' })],
  ['200 without a receipt', createHead({ hasReceipt: false })],
];

// Guards against a response that ends as complete although the endpoint's answer was broken off.
describe('a stream that was broken off does not look complete', () => {
  it.each(CASES)('if the engine that is to continue it responds with %s', (_name, head) => {
    const driver = startDriver('e1', 'e2');
    const id = breakOffStream(driver);
    respond(driver, id, head);
    expect(driver.list('caller.relay')).toHaveLength(1);
    expect(driver.list('caller.finish')).toHaveLength(0);
    expect(driver.list('caller.breakOff')).toHaveLength(1);
  });

  it.each(CASES)('and goes on at a third engine if the second responds with %s', (_name, head) => {
    const driver = startWithAttempts(3);
    const id = breakOffStream(driver);
    respond(driver, id, head);
    const third = driver.findAttempt(id)!;
    const engines = driver.list('attempt.start').map(({ endpoint }) => endpoint.id);
    expect(new Set(engines).size).toBe(3);
    expect(third.lastEventId).toBe('7');
    respond(driver, id, createHead());
    expect(driver.list('caller.finish')).toHaveLength(1);
  });

  it('if its events have no ids, so that no engine can continue it', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head: createHead() });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: undefined });
    driver.fail(id, 'broken');
    expect(driver.list('attempt.start')).toHaveLength(1);
    expect(driver.list('caller.breakOff')).toHaveLength(1);
  });

  it('if its engine stalls after events without ids', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head: createHead() });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '1' });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: undefined });
    driver.advance(1_500);
    expect(driver.list('attempt.start')).toHaveLength(1);
  });
});

describe('a call whose response was passed on in part', () => {
  it('is not run again, and its response does not look complete', () => {
    const driver = new GatewayDriver();
    const replicas = ['b1', 'b2'].map((id) => createEndpoint(id, { service: 'booking', slots: 6 }));
    driver.start(replicas);
    const id = driver.request('/balance/');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    driver.fail(id, 'broken');
    expect(driver.list('attempt.start')).toHaveLength(1);
    expect(driver.list('caller.breakOff')).toHaveLength(1);
  });
});
