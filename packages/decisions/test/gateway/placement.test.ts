import { describe, expect, it } from 'vitest';
import { MAX_QUEUED_REQUESTS } from '../../src/gateway/consts.js';
import {
  createEndpoint,
  createWork,
  GatewayDriver,
  startDriver,
} from '../fixtures/gateway-driver.js';

const findEngines = (driver: GatewayDriver, ids: readonly string[]): (string | undefined)[] =>
  ids.map((id) => driver.findAttempt(id)?.endpoint.id);

describe('short prompts', () => {
  it('share engines, so that other engines stay idle for long prompts', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const ids = [driver.request('/chat/'), driver.request('/chat/')];
    expect(new Set(findEngines(driver, ids)).size).toBe(1);
  });

  it('are not all prefilled in one pass of an engine, whose streams would pause too long', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const ids = Array.from({ length: 8 }, () => driver.request('/chat/'));
    const engines = findEngines(driver, ids);
    expect(new Set(engines).size).toBe(3);
    // A pass of 44 ms and 34 ms per prefill must together stay below the permitted 250 ms.
    engines.forEach((engine) =>
      expect(44 + 34 * engines.filter((other) => other === engine).length).toBeLessThan(250),
    );
  });

  it('are not placed on an engine that prefills a long prompt of a peer', () => {
    const driver = startDriver('e1', 'e2');
    driver.receiveSnapshot(1, [createWork('e1', { readers: 1, readMs: 1_200 })]);
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('e2');
  });

  it('are refused at once where the queue is full', () => {
    const driver = startDriver('e1');
    driver.receiveSnapshot(1, [
      createWork('e1', { writers: 11, tightWriters: 11, tightGapMs: 250 }),
    ]);
    const ids = Array.from({ length: MAX_QUEUED_REQUESTS + 1 }, () => driver.request('/chat/'));
    expect(driver.findRefusal(ids[MAX_QUEUED_REQUESTS - 1]!)).toBeUndefined();
    expect(driver.findRefusal(ids[MAX_QUEUED_REQUESTS]!)).toMatchObject({ reason: 'noRoom' });
  });

  it('are refused before their callers disconnect, where all engines stay full', () => {
    const driver = startDriver('e1');
    driver.receiveSnapshot(1, [
      createWork('e1', { writers: 11, tightWriters: 11, tightGapMs: 250 }),
    ]);
    const id = driver.request('/chat/');
    for (let step = 2; step < 14; step += 1) {
      driver.advance(200);
      driver.receiveSnapshot(step, [
        createWork('e1', { writers: 11, tightWriters: 11, tightGapMs: 250 }),
      ]);
    }
    expect(driver.list('attempt.start')).toHaveLength(0);
    expect(driver.findRefusal(id)?.reason).toBe('noRoom');
  });
});

describe('long prompts', () => {
  const REVIEW = { promptTokens: 180_000, waitsMs: 15_000 };

  it('are prefilled by as many engines as deliver the first event in time', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4', 'e5');
    const attempt = driver.findAttempt(driver.request('/review/', REVIEW));
    expect(attempt?.helpers.length).toBeGreaterThanOrEqual(2);
  });

  it('disrupt no stream that a peer has on an engine', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4', 'e5');
    driver.receiveSnapshot(1, [createWork('e1', { writers: 4, tightWriters: 4, tightGapMs: 250 })]);
    const attempt = driver.findAttempt(driver.request('/review/', REVIEW))!;
    expect(attempt.endpoint.id).not.toBe('e1');
    expect(attempt.helpers).toHaveLength(3);
  });

  it('wait for the first event of the previous one, also beyond the estimate', () => {
    const driver = startDriver('e1');
    const first = driver.request('/review/', { promptTokens: 50_000, waitsMs: 15_000 });
    const second = driver.request('/review/', { promptTokens: 50_000, waitsMs: 15_000 });
    // The estimated time to the first event is 0.53 s.
    driver.advance(700);
    expect(driver.findAttempt(second)).toBeUndefined();
    driver.sendEvent(first, '1');
    driver.advance(50);
    expect(driver.findAttempt(second)).toBeDefined();
  });

  it('wait in the entry VM rather than behind the prefill of other prompts', () => {
    const driver = startDriver('e1', 'e2');
    const busy = ['e1', 'e2'].map((id) => createWork(id, { readers: 1, readMs: 2_000 }));
    driver.receiveSnapshot(1, busy);
    const id = driver.request('/review/', REVIEW);
    expect(driver.findAttempt(id)).toBeUndefined();
    driver.receiveSnapshot(2, []);
    driver.advance(50);
    expect(driver.findAttempt(id)).toBeDefined();
  });
});

describe('a long prompt that can’t meet its target', () => {
  const LATE = { promptTokens: 200_000, waitsMs: 15_000 };

  /** Advances the clock while two of four engines decode short streams and could not prefill. */
  const advance = (driver: GatewayDriver, ms: number): void => {
    const busy = ['e1', 'e2'].map((id) =>
      createWork(id, { writers: 11, tightWriters: 11, tightGapMs: 250 }),
    );
    for (let passedMs = 0; passedMs < ms; passedMs += 200) {
      driver.receiveSnapshot(driver.nowMs, busy);
      driver.advance(200);
    }
  };

  it('uses idle engines only shortly before its caller disconnects', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    advance(driver, 200);
    const id = driver.request('/review/', LATE);
    advance(driver, 5_000);
    expect(driver.findAttempt(id)).toBeUndefined();
    // The caller disconnects after 12 s without an event.
    advance(driver, 4_000);
    expect(driver.findAttempt(id)?.endpoint.id).toMatch(/e3|e4/);
  });
});

describe('a prefill on several engines that fails', () => {
  it('is retried without the helper that the response names, on the same primary engine', () => {
    const driver = new GatewayDriver();
    driver.start(
      ['e1', 'e2', 'e3', 'e4', 'e5'].map((id, index) =>
        createEndpoint(id, { address: { host: '10.0.0.1', port: 8_000 + index } }),
      ),
    );
    const id = driver.request('/review/', { promptTokens: 180_000, waitsMs: 15_000 });
    const { attemptId, endpoint, helpers } = driver.findAttempt(id)!;
    const { address: atFault } = helpers[0]!;
    const failure = { failure: 'rejected', detail: 'test', atFault } as const;
    driver.dispatch({ kind: 'attempt.failed', attemptId, ...failure });
    const retry = driver.findAttempt(id)!;
    expect(retry.attemptId).not.toBe(attemptId);
    const addresses = [retry.endpoint.address, ...retry.helpers.map(({ address }) => address)];
    expect(addresses).not.toContainEqual(atFault);
    expect(addresses).toContainEqual(endpoint.address);
  });
});

describe('prompts that exceed the memory of one engine', () => {
  const HUGE = { promptTokens: 700_000, waitsMs: 15_000 };

  const respond = (driver: GatewayDriver, outcome: 'reserved' | 'refused'): void => {
    const { reservationId } = driver.list('reservation.ask').at(-1)!;
    driver.dispatch({ kind: 'reservation.answered', reservationId, outcome });
  };

  it('reserve memory on helpers before they are sent, and release it when they end', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    const id = driver.request('/review/', HUGE);
    expect(driver.findAttempt(id)).toBeUndefined();
    respond(driver, 'reserved');
    const attempt = driver.findAttempt(id)!;
    const reserved = attempt.helpers.filter(({ reservationId }) => reservationId !== undefined);
    expect(reserved).toHaveLength(1);
    driver.dispatch({ kind: 'attempt.ended', attemptId: attempt.attemptId });
    expect(driver.list('reservation.release')).toHaveLength(1);
  });

  it('release all reservations where one engine refuses', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    const id = driver.request('/review/', HUGE);
    respond(driver, 'refused');
    expect(driver.list('reservation.release')).toHaveLength(1);
    expect(driver.findAttempt(id)).toBeUndefined();
  });

  it('renew their reservations well before they expire', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    driver.request('/review/', HUGE);
    respond(driver, 'reserved');
    const { holdMs } = driver.list('reservation.ask')[0]!;
    expect(holdMs).toBeLessThan(4_000);
    driver.advance(holdMs);
    expect(driver.list('reservation.ask').length).toBeGreaterThanOrEqual(3);
  });
});
