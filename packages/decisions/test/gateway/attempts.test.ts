import { describe, expect, it } from 'vitest';
import {
  createEndpoint,
  createHead,
  createWork,
  startDriver,
  type GatewayDriver,
} from '../fixtures/gateway-driver.js';

describe('a non-idempotent call', () => {
  it('is not retried after bytes were sent, and is not refused as not run', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    driver.fail(id, 'broken');
    expect(driver.list('attempt.start')).toHaveLength(1);
    expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });

  it('is refused as not run, with a retry-after time, where the only endpoint rejects it', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    for (let attempts = 0; driver.findRefusal(id) === undefined && attempts < 10; attempts += 1) {
      driver.fail(id, 'rejected');
    }
    expect(driver.findRefusal(id)?.reason).toBe('rejected');
    expect(driver.findRefusal(id)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('goes to an endpoint that rejected it over a new connection only', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    driver.fail(id, 'rejected');
    const connections = driver.list('attempt.start').map(({ connection }) => connection);
    expect(connections).toEqual(['recent', 'new']);
  });

  it('is refused as broken where the status of its endpoint means that it did not run', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ status: 503, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.findRefusal(id)?.reason).toBe('broken');
  });

  it.each([408, 429, 503])('has no retry-after time if its endpoint responds with %i', (status) => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ status, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });

  it('is not sent again after its caller has disconnected', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    driver.dispatch({ kind: 'request.abandoned', requestId: id });
    driver.advance(5_000);
    expect(driver.list('attempt.start')).toHaveLength(1);
    expect(driver.list('attempt.cancel')).toHaveLength(1);
  });
});

describe('an idempotent call', () => {
  it('moves to another endpoint when its endpoint stalls, before the caller’s timeout', () => {
    const driver = startDriver('e1');
    const second = createEndpoint('booking-2', { service: 'booking', slots: 6 });
    driver.dispatch({
      kind: 'endpoints.changed',
      changes: [{ id: 'booking-2', endpoint: second }],
    });
    const id = driver.request('/balance/', { waitsMs: 1_000, promptTokens: 0 });
    const first = driver.findAttempt(id)!;
    driver.advance(400);
    expect(driver.list('attempt.cancel')).toHaveLength(1);
    expect(driver.findAttempt(id)?.endpoint.id).not.toBe(first.endpoint.id);
  });
});

describe('a resumable stream', () => {
  it('is resumed on another engine after the last event that the caller received', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const first = driver.findAttempt(id)!;
    driver.sendEvent(id, '7');
    driver.fail(id, 'broken');
    const second = driver.findAttempt(id)!;
    expect(second.endpoint.id).not.toBe(first.endpoint.id);
    expect(second.lastEventId).toBe('7');
  });

  it('runs on no more engines than its route permits, and then ends as incomplete', () => {
    const driver = startDriver('e1', 'e2', 'e3');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    driver.fail(id, 'broken');
    driver.fail(id, 'broken');
    expect(driver.list('attempt.start')).toHaveLength(2);
    expect(driver.list('caller.breakOff')).toHaveLength(1);
  });

  it('is resumed at once although it is late, where that disrupts no other stream', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    const { endpoint } = driver.findAttempt(id)!;
    const other = endpoint.id === 'e1' ? 'e2' : 'e1';
    driver.advance(500);
    driver.receiveSnapshot(1, [
      createWork(other, { writers: 9, tightWriters: 9, tightGapMs: 250 }),
    ]);
    driver.fail(id, 'broken');
    expect(driver.findAttempt(id)?.endpoint.id).toBe(other);
  });

  it('is not resumed while an event that arrived during a process suspension is pending', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    const { attemptId } = driver.findAttempt(id)!;
    driver.nowMs += 1_500;
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '8' });
    expect(driver.list('attempt.start')).toHaveLength(1);
    driver.fail(id, 'broken');
    expect(driver.findAttempt(id)?.lastEventId).toBe('8');
  });

  it('stays on its engine while its response is paused for a slow caller', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.flowChanged', attemptId, flow: 'held' });
    driver.dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: '8' });
    driver.advance(5_000);
    expect(driver.list('attempt.start')).toHaveLength(1);
    driver.dispatch({ kind: 'attempt.flowChanged', attemptId, flow: 'flowing' });
    driver.advance(1_500);
    expect(driver.list('attempt.start')).toHaveLength(2);
  });

  it('moves to another engine when its engine stalls', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '7');
    driver.advance(1_500);
    expect(driver.list('attempt.cancel')).toHaveLength(1);
    expect(driver.findAttempt(id)?.lastEventId).toBe('7');
  });
});

describe('the log of a request', () => {
  const listEvents = (driver: GatewayDriver): string[] =>
    driver.list('log').flatMap(({ event, fields }) => ('request' in fields ? event.name : []));

  it('is empty where the request was served in time', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '1');
    const { attemptId } = driver.findAttempt(id)!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    expect(listEvents(driver)).toEqual([]);
  });

  it('names an endpoint with an error response, also where that is forwarded', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ status: 500, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.list('caller.relay')).toHaveLength(1);
    expect(listEvents(driver)).toEqual(['requestPlaced', 'attemptFailed']);
  });

  it('states the timeout of a caller that is refused because it is too short', () => {
    const driver = startDriver('e1');
    driver.request('/review/', { promptTokens: 200_000, waitsMs: 100 });
    const { event, fields } = driver.list('log').at(-1)!;
    expect(event.name).toBe('requestTurnedAway');
    expect(fields).toMatchObject({ reason: 'noRoom', waitedMs: 0, limitMs: 100 });
  });

  it('lists the placements after a failure and when the caller disconnects', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.fail(id, 'rejected');
    driver.advance(100);
    driver.dispatch({ kind: 'request.abandoned', requestId: id });
    expect(listEvents(driver)).toEqual([
      'requestPlaced',
      'attemptFailed',
      'requestRepeated',
      'requestPlaced',
      'callerLeft',
    ]);
  });
});

describe('a request whose connection this process has closed', () => {
  it('is logged with the reason and not as that of a caller that has left', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/');
    driver.dispatch({ kind: 'request.abandoned', requestId: id, closedFor: 'malformedInput' });
    const names = driver.list('log').map(({ event }) => event.name);
    expect(names).toContain('connectionClosedUnanswered');
    expect(names).not.toContain('callerLeft');
    expect(driver.list('log').at(-1)!.fields).toMatchObject({ reason: 'malformedInput' });
    expect(driver.list('attempt.cancel')).toHaveLength(1);
    expect(driver.list('request.measured').at(-1)!.measured.outcome).toBe('closed');
  });
});

describe('retries', () => {
  it('stay within this entry VM’s part of the fleet’s retry budget', () => {
    const driver = startDriver('e1', 'e2');
    for (let count = 0; count < 40; count += 1) driver.fail(driver.request('/chat/'), 'rejected');
    const retries = driver.list('attempt.start').length - 40;
    // Half of 0.2 retries per request, and half of one 32nd of the allowance of 100.
    expect(retries).toBeGreaterThan(0);
    expect(retries).toBeLessThanOrEqual(0.5 * (0.2 * 40 + 100 / 32));
  });
});

describe('an entry VM that drains', () => {
  it('admits requests for a notice time, then closes and refuses, and ends when it is idle', () => {
    const driver = startDriver('e1');
    driver.dispatch({ kind: 'drainRequested', timeLeftMs: 7_600 });
    expect(driver.list('readiness').at(-1)?.ready).toBe(false);
    const early = driver.request('/chat/');
    expect(driver.findAttempt(early)).toBeDefined();
    driver.advance(3_000);
    expect(driver.list('callers.close')).toHaveLength(1);
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('notReady');
    expect(driver.list('drained')).toHaveLength(0);
    const { attemptId } = driver.findAttempt(early)!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    expect(driver.list('drained')).toHaveLength(1);
  });
});
