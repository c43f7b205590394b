import { describe, expect, it } from 'vitest';
import {
  createEndpoint,
  createHead,
  startDriver,
  type GatewayDriver,
} from '../fixtures/gateway-driver.js';

const CLOSED_MS = 2_000;

/** Most time that is added to a time that an endpoint has named. */
const MAX_SPREAD_MS = 0.1 * CLOSED_MS;

/** Longer than two retries of the placement of queued requests. */
const REPLACEMENT_MS = 40;

const REQUESTS = 20;

const reportClosed = (
  driver: GatewayDriver,
  id: string,
  retryAfterMs: number = CLOSED_MS,
  startedAtMs = 1,
): void =>
  driver.dispatch({
    kind: 'endpoint.noticeReported',
    endpoint: { id, startedAtMs },
    notice: { leaving: 'no', retryAfterMs },
  });

const findPlaced = (driver: GatewayDriver, requestId: string): string | undefined =>
  driver.findAttempt(requestId)?.endpoint.id;

const respond = (driver: GatewayDriver, requestId: string): void => {
  driver.sendEvent(requestId, '1');
  driver.dispatch({ kind: 'attempt.ended', attemptId: driver.findAttempt(requestId)!.attemptId });
};

/** Sends requests one after the other, has them served, and lists their endpoints. */
const listServed = (driver: GatewayDriver): Set<string | undefined> => {
  const served = Array.from({ length: REQUESTS }, () => {
    const id = driver.request('/chat/');
    const endpoint = findPlaced(driver, id);
    if (endpoint !== undefined) respond(driver, id);
    return endpoint;
  });
  return new Set(served);
};

const listLogged = (driver: GatewayDriver, name: string): unknown[] =>
  driver
    .list('log')
    .filter(({ event }) => event.name === name)
    .map(({ fields }) => fields);

/** Has an endpoint turn a request away, with a time to come back. */
const reject = (driver: GatewayDriver, requestId: string, retryAfterMs = CLOSED_MS): void => {
  reportClosed(driver, findPlaced(driver, requestId)!, retryAfterMs);
  driver.fail(requestId, 'rejected');
};

describe('an endpoint that turns a request away with a time to come back', () => {
  it('gets nothing until the time is over, and is logged once', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1');
    reportClosed(driver, 'e1');
    expect(listLogged(driver, 'endpointClosed')).toEqual([{ endpoint: 'e1', forMs: CLOSED_MS }]);
    expect(listServed(driver)).toEqual(new Set(['e2']));
    driver.advance(CLOSED_MS - 1);
    expect(listServed(driver)).toEqual(new Set(['e2']));
    driver.advance(MAX_SPREAD_MS + 1);
    expect(listServed(driver)).toContain('e1');
  });

  it('has the requests withdrawn that are not sent yet', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/');
    reportClosed(driver, 'e1');
    const { attemptId } = driver.findAttempt(id)!;
    expect(driver.list('attempt.withdraw')).toEqual([{ kind: 'attempt.withdraw', attemptId }]);
    expect(driver.list('attempt.cancel')).toHaveLength(0);
  });

  it('stays closed for the longer one of two times', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1');
    reportClosed(driver, 'e1', 100);
    reportClosed(driver, 'e1', 0);
    driver.advance(CLOSED_MS - 1);
    expect(listServed(driver)).toEqual(new Set(['e2']));
  });

  it.each([0, -1])('is not closed by %i', (retryAfterMs) => {
    const driver = startDriver('e1');
    reportClosed(driver, 'e1', retryAfterMs);
    expect(listServed(driver)).toEqual(new Set(['e1']));
    expect(listLogged(driver, 'endpointClosed')).toEqual([]);
  });

  it.each([86_400_000, Number.POSITIVE_INFINITY])(
    'is asked again after %d within minutes',
    (ms) => {
      const driver = startDriver('e1');
      reportClosed(driver, 'e1', ms);
      driver.advance(599_000);
      driver.confirm();
      expect(findPlaced(driver, driver.request('/chat/'))).toBeUndefined();
      driver.advance(1_500);
      expect(findPlaced(driver, driver.request('/chat/'))).toBe('e1');
    },
  );

  it('stays closed by the elapsed time, which counts a suspension', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1');
    driver.dispatch({ kind: 'time.lost', lostMs: CLOSED_MS / 2 });
    driver.advance(CLOSED_MS / 2 - 1);
    expect(listServed(driver)).toEqual(new Set(['e2']));
    driver.advance(MAX_SPREAD_MS + 1);
    expect(listServed(driver)).toContain('e1');
  });

  it('stays closed where its registration is read again, and is open after a restart', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1');
    const change = (startedAtMs?: number): void => {
      const endpoint =
        startedAtMs === undefined ? undefined : createEndpoint('e1', { startedAtMs });
      driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    };
    change();
    change(1);
    expect(listServed(driver)).toEqual(new Set(['e2']));
    change(2);
    reportClosed(driver, 'e1');
    expect(listServed(driver)).toContain('e1');
  });

  it('gets one request when the time is over, and more with each response', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1');
    driver.advance(CLOSED_MS + MAX_SPREAD_MS);
    const countSent = (): string[] => {
      const ids = Array.from({ length: REQUESTS }, () => driver.request('/chat/'));
      return ids.filter((id) => findPlaced(driver, id) === 'e1');
    };
    const first = countSent();
    expect(first).toHaveLength(1);
    respond(driver, first[0]!);
    driver.list('attempt.start').forEach(({ attemptId, endpoint }) => {
      if (endpoint.id === 'e2') driver.dispatch({ kind: 'attempt.ended', attemptId });
    });
    expect(countSent()).toHaveLength(2);
  });

  it('is closed again if the first request after the time is turned away, too', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e2', 60_000);
    reportClosed(driver, 'e1');
    driver.advance(CLOSED_MS + MAX_SPREAD_MS);
    const probe = driver.request('/chat/');
    expect(findPlaced(driver, probe)).toBe('e1');
    reject(driver, probe);
    expect(findPlaced(driver, driver.request('/chat/'))).toBeUndefined();
    expect(listLogged(driver, 'endpointClosed')).toHaveLength(3);
  });

  it('gets another request if the first one after the time has no response', () => {
    const driver = startDriver('e1');
    reportClosed(driver, 'e1');
    driver.advance(CLOSED_MS + MAX_SPREAD_MS);
    expect(findPlaced(driver, driver.request('/chat/'))).toBe('e1');
    expect(findPlaced(driver, driver.request('/chat/'))).toBeUndefined();
    driver.advance(1_000);
    expect(findPlaced(driver, driver.request('/chat/'))).toBe('e1');
  });

  it('is logged as open again after some responses, and then takes any number', () => {
    const driver = startDriver('e1');
    reportClosed(driver, 'e1');
    driver.advance(CLOSED_MS + MAX_SPREAD_MS);
    [1, 2, 3].forEach(() => respond(driver, driver.request('/chat/')));
    expect(listLogged(driver, 'endpointReopened')).toEqual([{ endpoint: 'e1' }]);
    const placed = Array.from({ length: 4 }, () => findPlaced(driver, driver.request('/chat/')));
    expect(placed).not.toContain(undefined);
  });
});

describe('a service whose endpoints all have named a time to come back', () => {
  it('is refused for at once, with the soonest time and some more', () => {
    const driver = startDriver('e1', 'e2');
    reportClosed(driver, 'e1', 60_000);
    reportClosed(driver, 'e2');
    const refusals = Array.from({ length: REQUESTS }, () =>
      driver.findRefusal(driver.request('/chat/'))!,
    );
    refusals.forEach(({ reason, retryAfterMs }) => {
      expect(reason).toBe('endpointsClosed');
      expect(retryAfterMs).toBeGreaterThanOrEqual(CLOSED_MS);
      expect(retryAfterMs).toBeLessThan(1.25 * CLOSED_MS);
    });
    expect(new Set(refusals.map(({ retryAfterMs }) => retryAfterMs)).size).toBe(REQUESTS);
  });

  it('is refused for with that time where its endpoint has turned the request away', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    reject(driver, id);
    const refusal = driver.findRefusal(id)!;
    expect(refusal.reason).toBe('endpointsClosed');
    expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(CLOSED_MS);
  });

  it('promises nothing for a once-only call that may have run', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    reportClosed(driver, 'booking-1');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ status: 503, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.findRefusal(id)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });

  it('forwards the answer of its endpoint to a call that could be repeated', () => {
    const driver = startDriver('e1');
    const id = driver.request('/balance/');
    const { attemptId } = driver.findAttempt(id)!;
    reportClosed(driver, 'booking-1');
    const head = createHead({ status: 503, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.list('caller.relay')).toMatchObject([{ requestId: id }]);
    expect(driver.findRefusal(id)).toBeUndefined();
  });

  it('has a request wait for a short time, but not for long', () => {
    const driver = startDriver('e1');
    reportClosed(driver, 'e1', 20);
    const id = driver.request('/chat/');
    expect(driver.findRefusal(id)).toBeUndefined();
    driver.advance(REPLACEMENT_MS);
    expect(findPlaced(driver, id)).toBe('e1');
    const waiting = driver.request('/chat/');
    reject(driver, id, 60_000);
    driver.advance(REPLACEMENT_MS);
    expect(driver.findRefusal(waiting)?.reason).toBe('endpointsClosed');
  });

  it('has a stream that has begun wait as long as its caller does', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '1');
    reportClosed(driver, 'e1');
    driver.fail(id, 'broken');
    driver.advance(CLOSED_MS - 1);
    expect(driver.list('attempt.start')).toHaveLength(1);
    driver.advance(MAX_SPREAD_MS + REPLACEMENT_MS);
    expect(driver.findAttempt(id)).toMatchObject({ lastEventId: '1' });
    expect(driver.list('attempt.start')).toHaveLength(2);
    expect(driver.list('caller.breakOff')).toHaveLength(0);
  });

  it('is refused for as without endpoints if the others leave', () => {
    const driver = startDriver('e1');
    reportClosed(driver, 'e1');
    const endpoint = createEndpoint('e1', { state: 'leaving' });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    expect(driver.findRefusal(driver.request('/chat/'))?.reason).toBe('noEndpoint');
  });
});
