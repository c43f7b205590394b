import type { GatewayEndpoint } from '@savorywind/model';
import { beforeEach, describe, expect, it } from 'vitest';
import { createPeers } from '../fixtures/fleet-driver.js';
import {
  createConfiguration,
  createEndpoint,
  GatewayDriver,
  startDriver,
} from '../fixtures/gateway-driver.js';

const REVOKED = { teams: [{ name: 'counter', credentials: ['another'], priority: undefined }] };

/** The time in which operator and endpoints write again, in the test contract. */
const REWRITE_MS = 2_300;

let driver: GatewayDriver;
let era = 1;

beforeEach(() => {
  era = 1;
  driver = startDriver('e1', 'e2');
});

const raiseEra = (): void => {
  era += 1;
  driver.dispatch({ kind: 'store.eraRaised', previousEra: era - 1, era });
};

/** The store shows a version when all rows are read, as after the begin of an era. */
const showVersion = (version: number): void =>
  driver.dispatch({
    kind: 'configuration.confirmed',
    requestedAtMs: driver.nowMs,
    configuration: createConfiguration({ version }),
    source: 'snapshot',
  });

const isAdmitted = (): boolean =>
  driver.findAttempt(driver.request('/private/', { credential: 'secret' })) !== undefined;

const findReason = (path = '/private/'): string | undefined =>
  driver.findRefusal(driver.request(path, { credential: 'secret' }))?.reason;

/** Delivers the snapshot of a peer that has known a version for some time. */
const hearOf = (version: number, ageMs = 0): void => {
  const [from] = createPeers('b', 1);
  const configuration = { version, ageMs };
  driver.dispatch({
    kind: 'peer.received',
    snapshot: { from: from!, incarnation: 1, sequence: 1, work: [], configuration },
  });
};

const showEndpoints = (...endpoints: readonly GatewayEndpoint[]): void =>
  driver.dispatch({ kind: 'endpoints.read', endpoints });

const change = (id: string, endpoint: GatewayEndpoint | undefined): void =>
  driver.dispatch({ kind: 'endpoints.changed', changes: [{ id, endpoint }] });

/** Lists the engines that get the next requests. */
const listUsed = (): string[] => {
  const used = Array.from({ length: 24 }, () => {
    const id = driver.request('/chat/');
    return driver.findAttempt(id)?.endpoint.id;
  });
  return [...new Set(used.filter((id) => id !== undefined))].sort();
};

describe('the configuration, when the store comes back from an older copy', () => {
  it('keeps a revocation that the copy lacks', () => {
    driver.confirm(createConfiguration({ version: 5, ...REVOKED }));
    raiseEra();
    showVersion(4);
    expect(findReason()).toBe('wrongCredential');
  });

  it('keeps a route that the copy lacks', () => {
    driver.confirm(createConfiguration({ version: 5 }));
    raiseEra();
    driver.confirm(createConfiguration({ version: 4, routes: [] }));
    expect(driver.findAttempt(driver.request('/chat/'))).toBeDefined();
    const behind = driver.list('log').filter(({ event }) => event.name === 'configurationBehind');
    expect(behind.map(({ fields }) => fields)).toEqual([{ version: 4, inForce: 5 }]);
  });

  it('is not confirmed by an older one, however long the operator does not write', () => {
    driver.confirm(createConfiguration({ version: 5 }));
    raiseEra();
    showVersion(4);
    driver.advance(6_000);
    showVersion(4);
    driver.confirm();
    expect(findReason()).toBe('credentialsStale');
  });

  it('is confirmed again as soon as the operator has written it again', () => {
    driver.confirm(createConfiguration({ version: 5 }));
    raiseEra();
    showVersion(4);
    driver.advance(4_800);
    expect(findReason()).toBe('credentialsStale');
    driver.confirm(createConfiguration({ version: 5 }));
    expect(isAdmitted()).toBe(true);
  });

  it('goes on to be admitted by the confirmations from before', () => {
    raiseEra();
    showVersion(1);
    driver.advance(4_600);
    expect(isAdmitted()).toBe(true);
  });

  it('is not confirmed before a revocation that nobody has seen must be written again', () => {
    driver.advance(1_600);
    raiseEra();
    showVersion(1);
    driver.advance(REWRITE_MS - 100);
    driver.confirm();
    driver.advance(1_000);
    expect(findReason()).toBe('credentialsStale');
    driver.confirm();
    expect(isAdmitted()).toBe(true);
  });

  it('is not confirmed by a version that a peer has already replaced', () => {
    hearOf(6);
    driver.advance(4_800);
    driver.confirm();
    expect(findReason()).toBe('credentialsStale');
    driver.confirm(createConfiguration({ version: 6 }));
    expect(isAdmitted()).toBe(true);
  });

  it('is confirmed by a question that left before a peer told of a newer version', () => {
    driver.advance(2_000);
    const requestedAtMs = driver.nowMs;
    driver.advance(100);
    hearOf(6);
    const confirmation = { configuration: undefined, source: 'change', requestedAtMs } as const;
    driver.dispatch({ kind: 'configuration.confirmed', ...confirmation });
    driver.advance(4_000);
    expect(isAdmitted()).toBe(true);
  });

  it('admits nothing in a VM that started then, once a peer tells of the newer version', () => {
    driver.advance(200);
    hearOf(6, 60_000);
    expect(findReason()).toBe('credentialsStale');
    driver.confirm(createConfiguration({ version: 6 }));
    expect(isAdmitted()).toBe(true);
  });

  it('stays confirmed if a peer got a newer version after the last confirmation', () => {
    driver.advance(200);
    hearOf(6, 100);
    expect(isAdmitted()).toBe(true);
  });

  it('stays confirmed if a peer got a newer version while this VM was suspended', () => {
    driver.advance(200);
    driver.dispatch({ kind: 'time.lost', lostMs: 1_000 });
    hearOf(6, 700);
    expect(isAdmitted()).toBe(true);
  });

  it('is treated the same when another copy comes back soon after the first', () => {
    driver.confirm(createConfiguration({ version: 5, ...REVOKED }));
    raiseEra();
    showVersion(4);
    driver.confirm(createConfiguration({ version: 5, ...REVOKED }));
    raiseEra();
    showVersion(3);
    expect(findReason()).toBe('wrongCredential');
  });
});

describe('the configuration of a process that starts', () => {
  const readEras = (storeEra: number | undefined, provenEra: number | undefined): void =>
    driver.dispatch({ kind: 'peers.read', peers: [], storeEra, provenEra });

  beforeEach(() => {
    driver = new GatewayDriver();
    driver.dispatch({ kind: 'process.started' });
    showEndpoints(createEndpoint('e1'));
    showVersion(4);
  });

  it('is not confirmed before it is known in which eras others had proof', () => {
    expect(isAdmitted()).toBe(false);
    readEras(2, 2);
    expect(isAdmitted()).toBe(true);
  });

  it.each([
    ['no entry VM ever had proof', 3, undefined],
    ['the store names no era', undefined, undefined],
    ['the proof is of a later era than the row was read in', 2, 3],
  ])('is confirmed by the response that came before if %s', (_label, storeEra, provenEra) => {
    readEras(storeEra, provenEra);
    expect(isAdmitted()).toBe(true);
  });

  it('is not confirmed by an older copy that nobody remembers, before all must be written again', () => {
    readEras(2, 1);
    showVersion(4);
    expect(isAdmitted()).toBe(false);
    driver.advance(REWRITE_MS - 100);
    showVersion(4);
    expect(isAdmitted()).toBe(false);
    driver.advance(200);
    showVersion(4);
    expect(isAdmitted()).toBe(true);
  });

  it('is confirmed as soon as the operator has written in the new era', () => {
    readEras(2, 1);
    driver.confirm(createConfiguration({ version: 5 }));
    expect(isAdmitted()).toBe(true);
  });

  it('is confirmed after a bounded time if the rows of the entry VMs can not be read', () => {
    driver.advance(REWRITE_MS + 1);
    showVersion(4);
    expect(isAdmitted()).toBe(true);
  });

  it('is told to be proved once in each era', () => {
    readEras(2, 2);
    showVersion(4);
    showVersion(4);
    expect(driver.list('registration.prove')).toEqual([{ kind: 'registration.prove', era: 2 }]);
  });
});

describe('registrations, when the store comes back from an older copy', () => {
  it('that the copy lacks are kept until there was time to write them again', () => {
    raiseEra();
    showEndpoints(createEndpoint('e1'));
    expect(listUsed()).toContain('e2');
    driver.advance(REWRITE_MS + 100);
    expect(listUsed()).not.toContain('e2');
  });

  it('that the copy lacks stay if they are written again', () => {
    raiseEra();
    showEndpoints(createEndpoint('e1'));
    change('e2', createEndpoint('e2'));
    driver.advance(REWRITE_MS + 100);
    expect(listUsed()).toContain('e2');
  });

  it('of an endpoint that had left give it no work', () => {
    driver.advance(100);
    change('e2', undefined);
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    expect(listUsed()).toEqual(['e1']);
  });

  it('of an endpoint that had announced that it leaves give it no work', () => {
    change('e2', createEndpoint('e2', { state: 'leaving' }));
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    expect(listUsed()).toEqual(['e1']);
  });

  it('of an endpoint that had left are believed once they change in the new era', () => {
    driver.advance(100);
    change('e2', undefined);
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    change('e2', createEndpoint('e2'));
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    expect(listUsed()).toContain('e2');
  });

  it('of an endpoint that had left are believed if they are still there long after', () => {
    driver.advance(100);
    change('e2', undefined);
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    driver.advance(10_100);
    expect(listUsed()).toContain('e2');
  });

  it('of an endpoint that had left are not believed while the store is away', () => {
    change('e2', createEndpoint('e2', { state: 'leaving' }));
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(11_000);
    expect(listUsed()).toEqual(['e1']);
  });

  it('of an endpoint that had left are not believed as soon as the store is back', () => {
    change('e2', createEndpoint('e2', { state: 'leaving' }));
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(11_000);
    driver.confirm();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2'));
    expect(listUsed()).toEqual(['e1']);
    driver.advance(11_000);
    expect(listUsed()).toEqual(['e1', 'e2']);
  });

  it('of a process that started anew after it had left are believed at once', () => {
    driver.advance(100);
    change('e2', undefined);
    raiseEra();
    showEndpoints(createEndpoint('e1'), createEndpoint('e2', { startedAtMs: 2 }));
    expect(listUsed()).toContain('e2');
  });

  it('of an earlier process under the same id do not replace those of the later one', () => {
    const address = { host: '10.0.0.2', port: 8_000 };
    change('e2', createEndpoint('e2', { startedAtMs: 5, address }));
    raiseEra();
    showEndpoints(createEndpoint('e2', { startedAtMs: 1 }));
    const used = driver.findAttempt(driver.request('/chat/'))!.endpoint;
    expect(used).toMatchObject(used.id === 'e2' ? { address, startedAtMs: 5 } : { id: 'e1' });
    expect(listUsed()).toContain('e2');
    const e2 = driver.list('attempt.start').find(({ endpoint }) => endpoint.id === 'e2');
    expect(e2?.endpoint).toMatchObject({ address, startedAtMs: 5 });
  });
});

describe('the row of this entry VM, when the store comes back from an older copy', () => {
  it('is checked once within a second, also after two copies', () => {
    raiseEra();
    driver.advance(1);
    raiseEra();
    driver.advance(1_000);
    expect(driver.list('registration.renew')).toHaveLength(1);
  });
});

describe('the registration of an endpoint that leaves, in an older copy of the store', () => {
  it('is not believed while the store can’t be reached, nor at once when it can', () => {
    driver = startDriver('e1');
    const endpoint = createEndpoint('e1', { state: 'leaving' });
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint }] });
    raiseEra();
    driver.dispatch({ kind: 'endpoints.read', endpoints: [createEndpoint('e1')] });
    driver.dispatch({ kind: 'store.failed', detail: 'test' });
    driver.advance(60_000);
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
    driver.confirm();
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
    driver.dispatch({ kind: 'endpoints.changed', changes: [{ id: 'e1', endpoint: undefined }] });
    driver.advance(10_000);
    driver.confirm();
    expect(driver.findAttempt(driver.request('/chat/'))).toBeUndefined();
  });
});
