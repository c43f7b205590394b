import type { GatewayEndpoint } from '@savorywind/model';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  createEndpoint,
  createHead,
  createWork,
  GatewayDriver,
} from '../fixtures/gateway-driver.js';

const REQUESTS = 20;

/** Enough to use all endpoints that may be used. */
const OPEN_REQUESTS = 16;

/** Requests that find room in two domains at the same time. */
const FEW_REQUESTS = 6;

/** More than the slots of the engines of one domain. */
const PEAK_REQUESTS = 60;

/** Prompt that exceeds the memory of one engine. */
const HUGE = { promptTokens: 700_000, waitsMs: 15_000 };

/** The time in which the operator writes again, in the test contract. */
const REWRITE_MS = 2_300;

/** Longer than any stall timeout of the chat route. */
const STALL_MS = 2_000;

const createReplica = (id: string, failureDomain: string): GatewayEndpoint =>
  createEndpoint(id, { service: 'booking', slots: 6, failureDomain });

/** Two engines and a replica in each domain; the host of each is its id. */
const ENDPOINTS = ['a', 'b', 'c'].flatMap((domain) =>
  [1, 2].map((index) => {
    const id = `${domain}${index}`;
    return createEndpoint(id, { failureDomain: domain, address: { host: id, port: 8_000 } });
  }),
);

const REPLICAS = ['a', 'b', 'c'].map((domain) => createReplica(`${domain}-booking`, domain));

let driver: GatewayDriver;
let era: number;

beforeEach(() => {
  driver = new GatewayDriver();
  driver.start([...ENDPOINTS, ...REPLICAS]);
  era = 1;
});

/** Delivers rows of the operator that were written or removed. */
const change = (domain: string, isEvacuated: boolean): void => {
  const changes = [{ domain, isEvacuated }];
  driver.dispatch({
    kind: 'evacuations.read',
    source: 'change',
    changes,
    requestedAtMs: driver.nowMs,
  });
};

const evacuate = (...domains: readonly string[]): void =>
  domains.forEach((domain) => change(domain, true));

/** Delivers a read of all rows. */
const show = (...domains: readonly string[]): void =>
  driver.dispatch({
    kind: 'evacuations.read',
    source: 'snapshot',
    changes: domains.map((domain) => ({ domain, isEvacuated: true })),
    requestedAtMs: driver.nowMs,
  });

const raiseEra = (): void => {
  era += 1;
  driver.dispatch({ kind: 'store.eraRaised', previousEra: era - 1, era });
};

const isIn =
  (...domains: readonly string[]) =>
  ({ endpoint }: { readonly endpoint: GatewayEndpoint }): boolean =>
    domains.includes(endpoint.failureDomain);

/** Has several requests open at the same time, and lists the domains that serve them. */
const listUsed = (path = '/chat/'): string[] => {
  const ids = Array.from({ length: OPEN_REQUESTS }, () => driver.request(path));
  const attempts = ids.flatMap((id) => driver.findAttempt(id) ?? []);
  ids.forEach((requestId) => driver.dispatch({ kind: 'request.abandoned', requestId }));
  return [...new Set(attempts.map(({ endpoint }) => endpoint.failureDomain))].sort();
};

const listLogged = (name: string): Readonly<Record<string, unknown>>[] =>
  driver
    .list('log')
    .filter(({ event }) => event.name === name)
    .map(({ fields }) => fields);

/** Fails all attempts that were withdrawn, as none of their bytes has left. */
const confirmWithdrawals = (): void =>
  driver
    .list('attempt.withdraw')
    .forEach(({ attemptId }) =>
      driver.dispatch({ kind: 'attempt.failed', attemptId, failure: 'withdrawn', detail: 'test' }),
    );

describe('an evacuated failure domain', () => {
  it.each(['/chat/', '/booking/', '/balance/'])('gets no new request on %s', (path) => {
    evacuate('a');
    expect(listUsed(path)).not.toContain('a');
  });

  it('gets requests again at once when the evacuation ends', () => {
    evacuate('a', 'b');
    expect(listUsed()).toEqual(['c']);
    change('b', false);
    expect(listUsed()).toEqual(['b', 'c']);
  });

  it('gets none of the requests that peers have forwarded', () => {
    evacuate('a', 'b');
    const forwardedFrom = {
      by: 'vm-2',
      version: 1,
      elapsedMs: 5,
      hasBegun: false,
      failedEndpoints: [],
    };
    const ids = Array.from({ length: REQUESTS }, () => driver.request('/chat/', { forwardedFrom }));
    const placed = ids.flatMap((id) => driver.findAttempt(id)?.endpoint.failureDomain ?? []);
    expect(new Set(placed)).toEqual(new Set(['c']));
  });

  it.each(['rejected', 'notSent', 'broken'] as const)('gets no retry after %s', (failure) => {
    evacuate('a', 'b');
    const id = driver.request('/chat/');
    driver.fail(id, failure);
    expect(driver.list('attempt.start').filter(isIn('a', 'b'))).toEqual([]);
    expect(driver.findAttempt(id)?.endpoint.failureDomain).toBe('c');
  });

  it('gets no stream that is resumed', () => {
    const id = driver.request('/chat/');
    driver.sendEvent(id, '3');
    evacuate('a', 'b');
    driver.fail(id, 'broken');
    expect(driver.findAttempt(id)).toMatchObject({
      endpoint: { failureDomain: 'c' },
      lastEventId: '3',
    });
  });

  it('gets no second try of a request whose engine is silent', () => {
    const id = driver.request('/chat/');
    evacuate('a', 'b');
    driver.advance(STALL_MS);
    expect(driver.findAttempt(id)?.endpoint.failureDomain).toBe('c');
  });

  it('helps with no prefill', () => {
    evacuate('a', 'b');
    const id = driver.request('/review/', { promptTokens: 300_000, waitsMs: 15_000 });
    const { endpoint, helpers } = driver.findAttempt(id)!;
    const hosts = [endpoint.address, ...helpers.map(({ address }) => address)].map(
      ({ host }) => host,
    );
    expect(hosts.sort()).toEqual(['c1', 'c2']);
  });

  it('is asked for no memory', () => {
    evacuate('a');
    driver.request('/review/', HUGE);
    const asked = driver.list('reservation.ask');
    expect(asked.length).toBeGreaterThan(0);
    expect(asked.filter(isIn('a'))).toEqual([]);
  });

  it('has memory released that is held for a request which is not sent, and that one placed anew', () => {
    const memoryTokens = 150_000;
    const work = ENDPOINTS.map(({ id }) => createWork(id, { memoryTokens }));
    driver.receiveSnapshot(1, work);
    const id = driver.request('/review/', HUGE);
    const first = driver.list('reservation.ask')[0]!;
    evacuate(first.endpoint.failureDomain);
    expect(driver.list('reservation.release').map(({ reservationId }) => reservationId)).toEqual([
      first.reservationId,
    ]);
    driver.dispatch({
      kind: 'reservation.answered',
      reservationId: first.reservationId,
      outcome: 'reserved',
    });
    const later = driver.list('reservation.ask').slice(1);
    expect(later.length).toBeGreaterThan(0);
    expect(later.filter(isIn(first.endpoint.failureDomain))).toEqual([]);
    expect(driver.findRefusal(id)).toBeUndefined();
  });

  it('goes on to hold the memory of a request that runs', () => {
    driver.request('/review/', HUGE);
    for (let answered = 0; answered < driver.list('reservation.ask').length; answered += 1) {
      const { reservationId } = driver.list('reservation.ask')[answered]!;
      driver.dispatch({ kind: 'reservation.answered', reservationId, outcome: 'reserved' });
    }
    expect(driver.list('attempt.start')).toHaveLength(1);
    const held = driver.list('reservation.ask').length;
    evacuate('a', 'b', 'c');
    driver.advance(1_100);
    expect(driver.list('reservation.ask').length).toBe(2 * held);
    expect(driver.list('reservation.release')).toEqual([]);
  });

  it('gets no probe of the path, neither after a loss nor for a request that holds memory', () => {
    evacuate('a', 'b');
    driver.fail(driver.request('/chat/'), 'notSent');
    driver.advance(STALL_MS);
    const probes = driver.list('path.probe');
    expect(probes.length).toBeGreaterThan(0);
    expect(probes.filter(isIn('a', 'b'))).toEqual([]);
  });

  it('has requests withdrawn that are not sent yet, and loses none of them', () => {
    const calls = Array.from({ length: REQUESTS }, () => driver.request('/booking/'));
    const streams = Array.from({ length: FEW_REQUESTS }, () => driver.request('/chat/'));
    evacuate('a');
    confirmWithdrawals();
    const domains = [...calls, ...streams].map(
      (id) => driver.findAttempt(id)!.endpoint.failureDomain,
    );
    expect(driver.list('attempt.withdraw').length).toBeGreaterThan(0);
    expect(domains).not.toContain('a');
    expect(driver.list('caller.refuse')).toEqual([]);
  });

  it('lets all streams end that run there, at peak', () => {
    const ids = Array.from({ length: PEAK_REQUESTS }, () => driver.request('/chat/'));
    const running = ids.filter((id) => driver.findAttempt(id) !== undefined);
    running.forEach((id) => driver.sendEvent(id, '1'));
    evacuate('a', 'b');
    expect(driver.list('attempt.withdraw')).toEqual([]);
    running.forEach((id) => driver.sendEvent(id, '2'));
    running.forEach((id) =>
      driver.dispatch({ kind: 'attempt.ended', attemptId: driver.findAttempt(id)!.attemptId }),
    );
    expect(driver.list('attempt.cancel')).toEqual([]);
    expect(driver.list('caller.finish').length).toBe(running.length);
  });

  it('places waiting requests anew at once, on the evacuation and on its end', () => {
    evacuate('a', 'b');
    const ids = Array.from({ length: PEAK_REQUESTS }, () => driver.request('/chat/'));
    const waiting = ids.filter((id) => driver.findAttempt(id) === undefined);
    expect(waiting.length).toBeGreaterThan(0);
    change('b', false);
    expect(waiting.some((id) => driver.findAttempt(id)?.endpoint.failureDomain === 'b')).toBe(true);
    const stillWaiting = waiting.filter((id) => driver.findAttempt(id) === undefined);
    evacuate('b', 'c');
    stillWaiting.forEach((id) => expect(driver.findRefusal(id)?.reason).toBe('noEndpoint'));
  });

  it('is known to a process that starts before it is ready', () => {
    driver = new GatewayDriver();
    show('a');
    driver.start([...ENDPOINTS, ...REPLICAS]);
    expect(listUsed()).toEqual(['b', 'c']);
  });

  it('stays evacuated while the store does not answer', () => {
    evacuate('a');
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(60_000);
    driver.confirm();
    expect(listUsed()).toEqual(['b', 'c']);
  });

  it('ends with a read of all rows that lacks it, as after a lost history', () => {
    evacuate('a', 'b');
    show('b');
    expect(listUsed()).toEqual(['a', 'c']);
  });

  it('is logged at its begin and its end, with the age of the read', () => {
    const requestedAtMs = driver.nowMs;
    driver.advance(70);
    const changes = [{ domain: 'a', isEvacuated: true }];
    const read = { kind: 'evacuations.read', source: 'change', requestedAtMs } as const;
    driver.dispatch({ ...read, changes });
    driver.dispatch({ ...read, changes });
    driver.advance(500);
    change('a', false);
    expect(listLogged('evacuationBegun')).toEqual([{ domain: 'a', readAgeMs: 70 }]);
    expect(listLogged('evacuationEnded')).toEqual([{ domain: 'a', forMs: 500, readAgeMs: 0 }]);
  });

  it('is shown with the attempts that go on there', () => {
    const ids = Array.from({ length: REQUESTS }, () => driver.request('/chat/'));
    ids.forEach((id) => driver.sendEvent(id, '1'));
    evacuate('a');
    driver.advance(200);
    const attempts = driver.list('attempt.start').filter(isIn('a')).length;
    expect(driver.evacuationUsage).toEqual({
      domains: [{ domain: 'a', evacuatedForMs: 200 }],
      attempts,
    });
  });
});

describe('a service all of whose endpoints are in evacuated failure domains', () => {
  beforeEach(() => evacuate('a', 'b', 'c'));

  it('has requests refused at once as not run, with times to come back that differ', () => {
    const refusals = Array.from({ length: REQUESTS }, () =>
      driver.findRefusal(driver.request('/chat/'))!,
    );
    expect(driver.list('attempt.start')).toEqual([]);
    expect(new Set(refusals.map(({ reason }) => reason))).toEqual(new Set(['noEndpoint']));
    const times = refusals.map(({ retryAfterMs }) => retryAfterMs!);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...times)).toBeLessThanOrEqual(2_000);
    expect(new Set(times).size).toBe(REQUESTS);
  });

  it('serves again at once when one of them is taken back', () => {
    change('c', false);
    expect(listUsed()).toEqual(['c']);
  });
});

describe('requests that run while all failure domains are evacuated', () => {
  it('pass on the error of their endpoint, as no other one may be tried', () => {
    const id = driver.request('/balance/');
    evacuate('a', 'b', 'c');
    const { attemptId } = driver.findAttempt(id)!;
    const head = createHead({ status: 500, content: 'whole' });
    driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    expect(driver.list('caller.relay')).toHaveLength(1);
  });

  it('are left at an engine that is silent for a while', () => {
    const id = driver.request('/chat/');
    driver.sendEvent(id, '1');
    evacuate('a', 'b', 'c');
    driver.advance(STALL_MS);
    expect(driver.list('attempt.cancel')).toEqual([]);
    driver.sendEvent(id, '2');
    driver.dispatch({ kind: 'attempt.ended', attemptId: driver.findAttempt(id)!.attemptId });
    expect(driver.list('caller.finish')).toHaveLength(1);
  });
});

describe('an evacuation, when the store comes back from an older copy', () => {
  it('that the copy lacks goes on until a read after the operator had the time to write', () => {
    evacuate('a');
    raiseEra();
    show();
    driver.advance(REWRITE_MS - 1);
    show();
    expect(listUsed()).toEqual(['b', 'c']);
    driver.advance(1);
    show();
    expect(listUsed()).toEqual(['a', 'b', 'c']);
    expect(listLogged('evacuationContradicted')).toEqual([{ domain: 'a', contradiction: 'kept' }]);
  });

  it('that the copy lacks goes on without a break if the operator writes it again', () => {
    evacuate('a');
    raiseEra();
    show();
    driver.advance(2_000);
    change('a', true);
    driver.advance(REWRITE_MS);
    show('a');
    expect(listUsed()).toEqual(['b', 'c']);
    expect(listLogged('evacuationEnded')).toEqual([]);
  });

  it('that the copy lacks goes on while the store does not answer, and until the time is over after that', () => {
    evacuate('a');
    raiseEra();
    show();
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(10_000);
    driver.confirm();
    show();
    expect(listUsed()).toEqual(['b', 'c']);
    driver.advance(REWRITE_MS);
    show();
    expect(listUsed()).toContain('a');
  });

  it('that the copy lacks goes on if the read of the copy is the first answer after an outage', () => {
    evacuate('a');
    raiseEra();
    show();
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(10_000);
    show();
    driver.confirm();
    expect(listUsed()).toEqual(['b', 'c']);
  });

  it('that the copy lacks goes on if the store went away before all rows were read', () => {
    evacuate('a');
    raiseEra();
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(10_000);
    show();
    driver.confirm();
    expect(listUsed()).toEqual(['b', 'c']);
    driver.advance(REWRITE_MS);
    show();
    expect(listUsed()).toContain('a');
  });

  it('that the copy lacks ends at once if the operator ends it again', () => {
    evacuate('a');
    raiseEra();
    show();
    change('a', false);
    expect(listUsed()).toContain('a');
  });

  it('that had ended is not revived by the copy if the operator removes its row again', () => {
    evacuate('a');
    driver.advance(500);
    change('a', false);
    raiseEra();
    show('a');
    expect(listUsed()).toContain('a');
    driver.advance(2_000);
    change('a', false);
    driver.advance(REWRITE_MS);
    show();
    expect(listUsed()).toContain('a');
    expect(listLogged('evacuationContradicted')).toEqual([
      { domain: 'a', contradiction: 'withheld' },
    ]);
  });

  it('that had ended is believed if its row is still there after that time, or is written again', () => {
    evacuate('a', 'b');
    change('a', false);
    change('b', false);
    raiseEra();
    show('a', 'b');
    change('b', true);
    expect(listUsed()).toEqual(['a', 'c']);
    driver.advance(REWRITE_MS);
    show('a', 'b');
    expect(listUsed()).toEqual(['c']);
  });

  it('that is new in the copy is believed at once', () => {
    raiseEra();
    show('a');
    expect(listUsed()).toEqual(['b', 'c']);
  });

  it('is kept through two copies in a row', () => {
    evacuate('a');
    raiseEra();
    show();
    driver.advance(1_500);
    raiseEra();
    show();
    driver.advance(1_500);
    show();
    expect(listUsed()).toEqual(['b', 'c']);
  });
});
