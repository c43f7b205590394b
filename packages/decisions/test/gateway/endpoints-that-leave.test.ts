import type { NetworkAddress } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import {
  createEndpoint,
  createWork,
  GatewayDriver,
  startDriver,
} from '../fixtures/gateway-driver.js';

/** Longer than two retries of the placement of queued requests. */
const REPLACEMENT_MS = 40;

/** Prompt that exceeds the memory of one engine. */
const HUGE = { promptTokens: 700_000, waitsMs: 15_000 };

const REQUESTS = 20;

const ENGINES = ['e1', 'e2', 'e3', 'e4'];

const SNAPSHOT_OF_ALL = ['e1', 'e2'].map((id) => createEndpoint(id));

const reportLeaving = (driver: GatewayDriver, id: string, startedAtMs = 1): void =>
  driver.dispatch({
    kind: 'endpoint.noticeReported',
    endpoint: { id, startedAtMs },
    notice: { leaving: 'yes', retryAfterMs: 'none' },
  });

const readEndpoints = (driver: GatewayDriver, endpoints = SNAPSHOT_OF_ALL): void =>
  driver.dispatch({ kind: 'endpoints.read', endpoints });

/** Sends requests one after the other and lists the endpoints that serve them. */
const listPlaced = (driver: GatewayDriver): Set<string> => {
  const placed = Array.from({ length: REQUESTS }, () => {
    const { attemptId, endpoint } = driver.findAttempt(driver.request('/chat/'))!;
    driver.dispatch({ kind: 'attempt.ended', attemptId });
    return endpoint.id;
  });
  return new Set(placed);
};

const listLogged = (driver: GatewayDriver): string[] =>
  driver.list('log').map(({ event }) => event.name);

describe('an endpoint that says in a response that it leaves', () => {
  it('gets no request from the next decision on, and is logged once', () => {
    const driver = startDriver('e1', 'e2');
    expect(listPlaced(driver)).toContain('e1');
    reportLeaving(driver, 'e1');
    reportLeaving(driver, 'e1');
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
    expect(listLogged(driver).filter((name) => name === 'endpointLeavingNoted')).toHaveLength(1);
  });

  it('gets no call as the replica of a plain service', () => {
    const driver = startDriver('e1');
    reportLeaving(driver, 'booking-1');
    expect(driver.findRefusal(driver.request('/booking/'))?.reason).toBe('noEndpoint');
  });

  it('gets no retry, although no other endpoint is left to try', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    const first = driver.findAttempt(id)!.endpoint.id;
    reportLeaving(driver, first === 'e1' ? 'e2' : 'e1');
    driver.fail(id, 'rejected');
    driver.fail(id, 'rejected');
    const placed = driver.list('attempt.start').map(({ endpoint }) => endpoint.id);
    expect(new Set(placed)).toEqual(new Set([first]));
  });

  it('gets no stream that is resumed', () => {
    const driver = startDriver('e1', 'e2');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '3');
    const first = driver.findAttempt(id)!.endpoint.id;
    const other = first === 'e1' ? 'e2' : 'e1';
    reportLeaving(driver, other);
    driver.fail(id, 'broken');
    expect(driver.findAttempt(id)).toMatchObject({ endpoint: { id: first }, lastEventId: '3' });
  });

  it('helps with no prefill', () => {
    const driver = new GatewayDriver();
    const findAddress = (id: string): NetworkAddress => ({ host: id, port: 8_000 });
    driver.start(ENGINES.map((id) => createEndpoint(id, { address: findAddress(id) })));
    const listHelpers = (): NetworkAddress[] => {
      const id = driver.request('/review/', { promptTokens: 300_000, waitsMs: 15_000 });
      const { attemptId, helpers } = driver.findAttempt(id)!;
      driver.dispatch({ kind: 'attempt.ended', attemptId });
      return helpers.map(({ address }) => address);
    };
    const [first] = listHelpers();
    reportLeaving(driver, first!.host);
    const helpers = Array.from({ length: REQUESTS }, listHelpers).flat();
    expect(helpers.length).toBeGreaterThan(0);
    expect(helpers).not.toContainEqual(first);
  });

  it('is asked for no memory after another engine', () => {
    const driver = startDriver(...ENGINES);
    const memoryTokens = 150_000;
    driver.receiveSnapshot(
      1,
      ENGINES.map((id) => createWork(id, { memoryTokens })),
    );
    driver.request('/review/', HUGE);
    const { reservationId, endpoint } = driver.list('reservation.ask')[0]!;
    ENGINES.filter((id) => id !== endpoint.id).forEach((id) => reportLeaving(driver, id));
    driver.dispatch({ kind: 'reservation.answered', reservationId, outcome: 'reserved' });
    expect(driver.list('reservation.ask')).toHaveLength(1);
    expect(driver.list('reservation.release')).toHaveLength(1);
    expect(driver.list('attempt.start')).toHaveLength(0);
  });

  it('gets no request for which memory was reserved meanwhile', () => {
    const driver = startDriver(...ENGINES);
    driver.request('/review/', HUGE);
    const { reservationId, endpoint } = driver.list('reservation.ask')[0]!;
    ENGINES.filter((id) => id !== endpoint.id).forEach((id) => reportLeaving(driver, id));
    driver.dispatch({ kind: 'reservation.answered', reservationId, outcome: 'reserved' });
    expect(driver.list('attempt.start')).toHaveLength(0);
    expect(driver.list('reservation.release')).toHaveLength(1);
  });

  it('has the requests withdrawn that are not sent yet, not those that it answers', () => {
    const driver = startDriver('e1');
    const answered = driver.request('/chat/');
    driver.sendEvent(answered, '1');
    const placed = driver.request('/chat/');
    reportLeaving(driver, 'e1');
    expect(driver.list('attempt.withdraw').map(({ attemptId }) => attemptId)).toEqual([
      driver.findAttempt(placed)!.attemptId,
    ]);
    expect(driver.list('attempt.cancel')).toHaveLength(0);
  });

  it.each(['/chat/', '/balance/'])('loses no request that is withdrawn, on %s', (path) => {
    const driver = startDriver('e1', 'e2');
    const other = createEndpoint('booking-2', { service: 'booking', slots: 6 });
    driver.dispatch({
      kind: 'endpoints.changed',
      changes: [{ id: 'booking-2', endpoint: other }],
    });
    const id = driver.request(path);
    const first = driver.findAttempt(id)!.endpoint.id;
    reportLeaving(driver, first);
    driver.fail(id, 'withdrawn');
    expect(driver.findAttempt(id)!.endpoint.id).not.toBe(first);
  });

  it('has a once-only call withdrawn and placed elsewhere, as it was not sent', () => {
    const driver = startDriver('e1');
    const id = driver.request('/booking/');
    const endpoint = createEndpoint('booking-2', { service: 'booking', slots: 6 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'booking-2', endpoint }] });
    reportLeaving(driver, 'booking-1');
    driver.fail(id, 'withdrawn');
    expect(driver.findAttempt(id)!.endpoint.id).toBe('booking-2');
  });

  it('finishes the stream that it has begun', () => {
    const driver = startDriver('e1');
    const id = driver.request('/chat/');
    driver.sendEvent(id, '1');
    reportLeaving(driver, 'e1');
    driver.advance(REPLACEMENT_MS);
    driver.sendEvent(id, '2');
    driver.dispatch({ kind: 'attempt.ended', attemptId: driver.findAttempt(id)!.attemptId });
    expect(driver.list('caller.finish')).toHaveLength(1);
  });

  it('is refused for at once, truthfully, if all endpoints of the service leave', () => {
    const driver = startDriver('e1', 'e2');
    reportLeaving(driver, 'e1');
    reportLeaving(driver, 'e2');
    const refusal = driver.findRefusal(driver.request('/chat/'));
    expect(refusal?.reason).toBe('noEndpoint');
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
  });

  it('ends the wait of queued requests if it was the last one', () => {
    const driver = startDriver('e1');
    const ids = Array.from({ length: 2 * REQUESTS }, () => driver.request('/chat/'));
    const queued = ids.at(-1)!;
    expect(driver.findAttempt(queued)).toBeUndefined();
    reportLeaving(driver, 'e1');
    driver.advance(REPLACEMENT_MS);
    expect(driver.findRefusal(queued)?.reason).toBe('noEndpoint');
  });
});

describe('the registration of an endpoint that said that it leaves', () => {
  const start = (): GatewayDriver => {
    const driver = startDriver('e1', 'e2');
    reportLeaving(driver, 'e1');
    return driver;
  };

  it('does not take it back where it says that it serves', () => {
    const driver = start();
    readEndpoints(driver);
    const endpoint = createEndpoint('e1', { slots: 12 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
  });

  it('does not take it back from an older copy of the store, also after it was removed', () => {
    const driver = start();
    driver.advance(100);
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint: undefined }] });
    driver.dispatch({ kind: 'store.eraRaised', previousEra: 1, era: 2 });
    readEndpoints(driver);
    driver.advance(12_000);
    driver.confirm();
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
  });

  it('does not take it back while the store can’t be reached', () => {
    const driver = start();
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(3_000);
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
  });

  it('ends it with a process that started later', () => {
    const driver = start();
    const endpoint = createEndpoint('e1', { startedAtMs: 2 });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    expect(listPlaced(driver)).toContain('e1');
    reportLeaving(driver, 'e1');
    expect(listPlaced(driver)).toContain('e1');
    expect(driver.list('attempt.withdraw')).toHaveLength(0);
  });

  it('ends it by its removal if the start of the process is not known', () => {
    const driver = startDriver('e2');
    const change = (state: 'present' | 'removed'): void => {
      const endpoint =
        state === 'present' ? createEndpoint('e1', { startedAtMs: undefined }) : undefined;
      driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    };
    change('present');
    driver.dispatch({
      kind: 'endpoint.noticeReported',
      endpoint: { id: 'e1', startedAtMs: undefined },
      notice: { leaving: 'yes', retryAfterMs: 'none' },
    });
    expect(listPlaced(driver)).toEqual(new Set(['e2']));
    change('removed');
    change('present');
    expect(listPlaced(driver)).toContain('e1');
  });
});
