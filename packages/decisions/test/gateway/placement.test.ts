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
  it('share engines, so that others stay calm for long ones', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const ids = [driver.request('/chat/'), driver.request('/chat/')];
    expect(new Set(findEngines(driver, ids)).size).toBe(1);
  });

  it('do not all meet in one pass of an engine, whose streams would pause too long', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const ids = Array.from({ length: 8 }, () => driver.request('/chat/'));
    const engines = findEngines(driver, ids);
    expect(new Set(engines).size).toBe(3);
    // A pass of 44 ms and 34 ms of reading for each must stay under the pause of 250 ms.
    engines.forEach((engine) =>
      expect(44 + 34 * engines.filter((other) => other === engine).length).toBeLessThan(250),
    );
  });

  it('go to no engine that reads a long prompt of a peer', () => {
    const driver = startDriver('e1', 'e2');
    driver.receiveSnapshot(1, [createWork('e1', { readers: 1, readMs: 1_200 })]);
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('e2');
  });

  it('are refused at once where too many wait already', () => {
    const driver = startDriver('e1');
    driver.receiveSnapshot(1, [
      createWork('e1', { writers: 11, tightWriters: 11, tightGapMs: 250 }),
    ]);
    const ids = Array.from({ length: MAX_QUEUED_REQUESTS + 1 }, () => driver.request('/chat/'));
    expect(driver.findRefusal(ids[MAX_QUEUED_REQUESTS - 1]!)).toBeUndefined();
    expect(driver.findRefusal(ids[MAX_QUEUED_REQUESTS]!)).toMatchObject({ reason: 'noRoom' });
  });

  it('are refused before their callers leave, where all engines stay full', () => {
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

  it('are read by as many engines as bring the first event in time', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4', 'e5');
    const attempt = driver.findAttempt(driver.request('/review/', REVIEW));
    expect(attempt?.helpers.length).toBeGreaterThanOrEqual(2);
  });

  it('spoil no stream that a peer has on an engine', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4', 'e5');
    driver.receiveSnapshot(1, [createWork('e1', { writers: 4, tightWriters: 4, tightGapMs: 250 })]);
    const attempt = driver.findAttempt(driver.request('/review/', REVIEW))!;
    expect(attempt.endpoint.id).not.toBe('e1');
    expect(attempt.helpers).toHaveLength(3);
  });

  it('wait until the one before has its first event, also where that takes longer', () => {
    const driver = startDriver('e1');
    const first = driver.request('/review/', { promptTokens: 50_000, waitsMs: 15_000 });
    const second = driver.request('/review/', { promptTokens: 50_000, waitsMs: 15_000 });
    // The estimate is 0.53 s.
    driver.advance(700);
    expect(driver.findAttempt(second)).toBeUndefined();
    driver.sendEvent(first, '1');
    driver.advance(50);
    expect(driver.findAttempt(second)).toBeDefined();
  });

  it('wait in the entry VM rather than behind the reading of others', () => {
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

describe('a long prompt that can’t be in time', () => {
  const LATE = { promptTokens: 200_000, waitsMs: 15_000 };

  /** Two of four engines write short streams; only the others could read. */
  const advance = (driver: GatewayDriver, ms: number): void => {
    const busy = ['e1', 'e2'].map((id) =>
      createWork(id, { writers: 11, tightWriters: 11, tightGapMs: 250 }),
    );
    for (let passedMs = 0; passedMs < ms; passedMs += 200) {
      driver.receiveSnapshot(driver.nowMs, busy);
      driver.advance(200);
    }
  };

  it('leaves idle engines to others at first, and takes them before its caller leaves', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    advance(driver, 200);
    const id = driver.request('/review/', LATE);
    advance(driver, 5_000);
    expect(driver.findAttempt(id)).toBeUndefined();
    // The caller's patience is 12 s.
    advance(driver, 4_000);
    expect(driver.findAttempt(id)?.endpoint.id).toMatch(/e3|e4/);
  });
});

describe('a joint reading that fails', () => {
  it('is begun again without the helper that the answer names, whose first engine is sound', () => {
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
    const again = driver.findAttempt(id)!;
    expect(again.attemptId).not.toBe(attemptId);
    const addresses = [again.endpoint.address, ...again.helpers.map(({ address }) => address)];
    expect(addresses).not.toContainEqual(atFault);
    expect(addresses).toContainEqual(endpoint.address);
  });
});

describe('prompts over the memory of one engine', () => {
  const HUGE = { promptTokens: 700_000, waitsMs: 15_000 };

  const answer = (driver: GatewayDriver, outcome: 'reserved' | 'refused'): void => {
    const { reservationId } = driver.list('reservation.ask').at(-1)!;
    driver.dispatch({ kind: 'reservation.answered', reservationId, outcome });
  };

  it('reserve memory on other engines before they are sent, and free it at their end', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    const id = driver.request('/review/', HUGE);
    expect(driver.findAttempt(id)).toBeUndefined();
    answer(driver, 'reserved');
    const attempt = driver.findAttempt(id)!;
    const reserved = attempt.helpers.filter(({ reservationId }) => reservationId !== undefined);
    expect(reserved).toHaveLength(1);
    driver.dispatch({ kind: 'attempt.ended', attemptId: attempt.attemptId });
    expect(driver.list('reservation.release')).toHaveLength(1);
  });

  it('hold nothing where one engine refuses', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    const id = driver.request('/review/', HUGE);
    answer(driver, 'refused');
    expect(driver.list('reservation.release')).toHaveLength(1);
    expect(driver.findAttempt(id)).toBeUndefined();
  });

  it('renew what they hold well before it lapses', () => {
    const driver = startDriver('e1', 'e2', 'e3', 'e4');
    driver.request('/review/', HUGE);
    answer(driver, 'reserved');
    const { holdMs } = driver.list('reservation.ask')[0]!;
    expect(holdMs).toBeLessThan(4_000);
    driver.advance(holdMs);
    expect(driver.list('reservation.ask').length).toBeGreaterThanOrEqual(3);
  });
});
