import { logEvents } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createWork, startDriver, type GatewayDriver } from '../fixtures/gateway-driver.js';

/** Time that the process has for its requests after the stop signal. */
const STOP_MS = 7_600;

/** Time from the stop signal during which requests are admitted. */
const NOTICE_MS = 2_900;

/** Time without an event after which the engine of a chat counts as stalled. */
const STALL_MS = 1_000;

const ENGINES = ['e1', 'e2', 'e3', 'e4'];

const LONG_PROMPT = { promptTokens: 300_000, waitsMs: 15_000 };

const stop = (driver: GatewayDriver): void =>
  driver.dispatch({ kind: 'drainRequested', timeLeftMs: STOP_MS });

/** Starts a gateway of which half of the engines read long prompts for a peer. */
const startBusyDriver = (): GatewayDriver => {
  const driver = startDriver(...ENGINES);
  const reading = { readers: 1, longReaders: 1, readMs: 2_000 };
  driver.receiveSnapshot(1, [createWork('e1', reading), createWork('e2', reading)]);
  return driver;
};

/** Advances the clock while the peer goes on reading, with one snapshot every 200 ms. */
const advanceBusy = (driver: GatewayDriver, ms: number): void => {
  const reading = { readers: 1, longReaders: 1, readMs: 2_000 };
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 200) {
    driver.receiveSnapshot(
      100 + driver.nowMs,
      ENGINES.map((id) => createWork(id, reading)),
    );
    driver.advance(Math.min(200, ms - elapsedMs));
  }
};

/** Lists the ids of requests that got a final effect. */
const listEnded = (driver: GatewayDriver): string[] =>
  [
    ...driver.list('caller.refuse'),
    ...driver.list('caller.breakOff'),
    ...driver.list('caller.finish'),
  ]
    .map(({ requestId }) => requestId)
    .sort();

describe('an entry VM that stops', () => {
  it('leaves no long prompt that waits for an engine without an answer when its time ends', () => {
    const driver = startBusyDriver();
    advanceBusy(driver, 200);
    stop(driver);
    advanceBusy(driver, 2_200);
    const id = driver.request('/review/', LONG_PROMPT);
    advanceBusy(driver, STOP_MS - 2_200);
    expect(driver.findAttempt(id)).toBeUndefined();
    expect(listEnded(driver)).toEqual([id]);
  });

  it('refuses one that was never sent as not run, and promises nothing of one that was', () => {
    const driver = startBusyDriver();
    stop(driver);
    const stream = driver.request('/chat/', { waitsMs: 30_000, promptTokens: 100 });
    driver.sendEvent(stream, '1');
    advanceBusy(driver, 200);
    const waiting = driver.request('/review/', LONG_PROMPT);
    const call = driver.request('/booking/', { waitsMs: 30_000 });
    advanceBusy(driver, STOP_MS);
    const refusal = driver.findRefusal(waiting);
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
    expect(driver.findRefusal(call)).toEqual({ reason: 'broken', retryAfterMs: undefined });
    expect(driver.list('caller.breakOff').map(({ requestId }) => requestId)).toEqual([stream]);
    const cancelled = driver.list('attempt.cancel').map(({ attemptId }) => attemptId);
    expect(cancelled).toContain(driver.findAttempt(call)!.attemptId);
    expect(cancelled).toContain(driver.findAttempt(stream)!.attemptId);
  });

  it('is idle only after the answers to the requests that it ends', () => {
    const driver = startBusyDriver();
    stop(driver);
    driver.request('/booking/', { waitsMs: 30_000 });
    driver.advance(STOP_MS - 1);
    expect(driver.list('caller.refuse')).toHaveLength(0);
    driver.advance(1);
    const kinds = driver.effects.map(({ kind }) => kind);
    expect(kinds.indexOf('drained')).toBeGreaterThan(kinds.lastIndexOf('caller.refuse'));
    expect(driver.list('drained')).toHaveLength(1);
  });

  it('logs how many requests it ends in which state, and each of them', () => {
    const driver = startBusyDriver();
    stop(driver);
    const stream = driver.request('/chat/', { waitsMs: 30_000, promptTokens: 100 });
    driver.sendEvent(stream, '1');
    const call = driver.request('/booking/', { waitsMs: 30_000 });
    driver.advance(STOP_MS);
    const logs = driver.list('log');
    const open = logs.find(({ event }) => event === logEvents.requestsOpenAtStop);
    expect(open?.fields).toEqual({ open: 2, unplaced: 0, streaming: 1 });
    const broken = logs.find(({ event }) => event === logEvents.requestBrokenOff);
    expect(broken?.fields).toMatchObject({ request: stream, reason: 'stopping' });
    const refused = logs.find(({ event }) => event === logEvents.requestTurnedAway);
    expect(refused?.fields).toMatchObject({ request: call, reason: 'stopping' });
  });

  it('ends its requests at the first of two stop signals’ times', () => {
    const driver = startBusyDriver();
    stop(driver);
    const call = driver.request('/booking/', { waitsMs: 30_000 });
    driver.advance(2_000);
    stop(driver);
    driver.advance(STOP_MS - 2_000);
    expect(driver.findRefusal(call)?.reason).toBe('broken');
    expect(driver.list('callers.close')).toHaveLength(1);
  });

  it('ends its requests in time where the grace is shorter than the notice', () => {
    const driver = startBusyDriver();
    driver.dispatch({ kind: 'drainRequested', timeLeftMs: NOTICE_MS / 2 });
    const call = driver.request('/booking/', { waitsMs: 30_000 });
    driver.advance(NOTICE_MS / 2);
    expect(driver.findRefusal(call)?.reason).toBe('broken');
    expect(driver.list('drained')).toHaveLength(1);
  });
});

describe('a stream of an entry VM that stops', () => {
  it('is not ended before the end of the grace because its engine is silent', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/', { waitsMs: 30_000, promptTokens: 100 });
    stop(driver);
    const endMs = driver.nowMs + STOP_MS;
    // The stall is noticed in the last 30 ms, in which no other engine could resume the stream.
    for (let leftMs = endMs - 30 - STALL_MS - driver.nowMs; leftMs > 0; leftMs -= 500) {
      driver.advance(Math.min(500, leftMs));
      driver.sendEvent(id, '1');
    }
    driver.advance(endMs - 1 - driver.nowMs);
    expect(driver.list('caller.breakOff')).toHaveLength(0);
    driver.advance(1);
    expect(driver.list('caller.breakOff')).toHaveLength(1);
  });
});

describe('a request that has to wait for an engine of an entry VM that stops', () => {
  it('is refused at its arrival if it can’t be served in time, and its caller has time to go on', () => {
    const driver = startBusyDriver();
    advanceBusy(driver, 200);
    stop(driver);
    advanceBusy(driver, 2_200);
    const id = driver.request('/review/', LONG_PROMPT);
    advanceBusy(driver, 3_500);
    expect(driver.findAttempt(id)).toBeUndefined();
    expect(driver.findRefusal(id)?.reason).toBe('stopping');
    expect(driver.findRefusal(id)?.retryAfterMs).toBeLessThan(1_000);
  });

  it('is refused when the stop begins if it is known by then that it can’t be served in time', () => {
    const driver = startBusyDriver();
    advanceBusy(driver, 200);
    const id = driver.request('/review/', LONG_PROMPT);
    advanceBusy(driver, 3_200);
    expect(driver.findRefusal(id)).toBeUndefined();
    driver.dispatch({ kind: 'drainRequested', timeLeftMs: 4_000 });
    expect(driver.findRefusal(id)?.reason).toBe('stopping');
  });

  it('is served if an engine becomes idle while it still has time', () => {
    const driver = startBusyDriver();
    advanceBusy(driver, 200);
    stop(driver);
    const id = driver.request('/review/', { ...LONG_PROMPT, promptTokens: 100_000 });
    advanceBusy(driver, 400);
    expect(driver.findAttempt(id)).toBeUndefined();
    driver.receiveSnapshot(9_000_000, []);
    driver.advance(20);
    expect(driver.findAttempt(id)).toBeDefined();
  });

  it('is not sent if its memory is reserved too late for a first event', () => {
    const driver = startDriver(...ENGINES);
    const id = driver.request('/review/', { promptTokens: 700_000, waitsMs: 15_000 });
    const asked = driver.list('reservation.ask');
    expect(asked.length).toBeGreaterThan(0);
    stop(driver);
    driver.advance(STOP_MS - 10);
    for (let answered = 0; answered < driver.list('reservation.ask').length; answered += 1) {
      const { reservationId } = driver.list('reservation.ask')[answered]!;
      driver.dispatch({ kind: 'reservation.answered', reservationId, outcome: 'reserved' });
    }
    expect(driver.findAttempt(id)).toBeUndefined();
    expect(driver.findRefusal(id)?.reason).toBe('stopping');
    expect(driver.findRefusal(id)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('is not sent to an engine that could not answer before the process ends', () => {
    const driver = startBusyDriver();
    stop(driver);
    const id = driver.request('/booking/', { waitsMs: 15_000 });
    driver.advance(STOP_MS - 10);
    driver.fail(id, 'notSent');
    expect(driver.list('attempt.start')).toHaveLength(1);
    expect(driver.findRefusal(id)?.reason).toBe('stopping');
    expect(driver.findRefusal(id)?.retryAfterMs).toBeGreaterThan(0);
  });
});
