import { resultCodes, type ServiceContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { formatClaimKey, type AttemptFailure } from '../../src/index.js';
import { createConfiguration, createReplica } from '../fixtures/configurations.js';
import { createEntryVm, createServiceContract } from '../fixtures/contracts.js';
import { createStore, NodeDriver, type ClaimsMode } from '../fixtures/node-driver.js';

const KEY = formatClaimKey(createServiceContract());
const LONG_MS = 60_000;

const createCall = (requestId: string, overrides: Partial<ServiceContract> = {}) =>
  createServiceContract({ requestId, ...overrides });

const createPair = (): [NodeDriver, NodeDriver] => {
  const store = createStore(createConfiguration());
  const create = (id: string): NodeDriver => new NodeDriver({ vm: createEntryVm({ id }), store });
  return [create('entry-a1'), create('entry-b1')];
};

describe('a call with an idempotency key', () => {
  it('is sent over a fresh connection under its claim, and needs two writes', () => {
    const driver = new NodeDriver();
    const answer = driver.submitRequest(createCall('request-1'));
    expect(driver.lastStart).toMatchObject({ connection: 'fresh', mode: 'new' });
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'claimed', digest: 'digest-1' });
    driver.answerCall('booked');
    expect(answer).toMatchObject({ finished: true, text: 'booked', finals: 1 });
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'answered' });
    expect(driver.claimWriteCount).toBe(2);
  });

  it('gets the stored answer when it is repeated, through the same and another entry VM', () => {
    const [first, second] = createPair();
    first.submitRequest(createCall('request-1'));
    first.answerCall('booked');
    [first, second].forEach((driver) => {
      const answer = driver.submitRequest(createCall('request-2'));
      expect(answer).toMatchObject({ finished: true, text: 'booked', finals: 1 });
      expect(answer.head?.headers).toMatchObject({ 'idempotency-replayed': 'true' });
    });
    expect(second.starts).toEqual([]);
  });

  it('stores a summary of an answer that is too large, and refuses a repetition', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    driver.answerCall('x'.repeat(20_000));
    const { refusal } = driver.submitRequest(createCall('request-2'));
    expect(refusal).toMatchObject({ code: resultCodes.answerNotStored, ran: 'yes' });
    expect(refusal?.detail).toContain('status 201, 20000 bytes');
    expect(driver.starts).toHaveLength(1);
  });

  it('is refused if its key was used with another body', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    const { refusal } = driver.submitRequest(createCall('request-2', { digest: 'other' }));
    expect(refusal).toMatchObject({ code: resultCodes.keyReused, ran: 'no' });
  });

  it('is sent by only one of two entry VMs that claim it at the same time', () => {
    const [first, second] = createPair();
    first.claimsMode = 'held';
    second.claimsMode = 'held';
    first.submitRequest(createCall('request-1'));
    const secondAnswer = second.submitRequest(createCall('request-2'));
    first.releaseHeld();
    second.releaseHeld();
    expect(first.starts).toHaveLength(1);
    expect(second.starts).toHaveLength(0);
    expect(secondAnswer.refusal?.ran).toBe('unknown');
  });

  it('is refused by the same entry VM while the first call is running', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    const { refusal } = driver.submitRequest(createCall('request-2'));
    expect(refusal).toMatchObject({ code: resultCodes.keyInUse, ran: 'unknown' });
    expect(refusal?.retryAfterMs).toBeGreaterThan(0);
  });

  it('has an unknown outcome, and is not sent again, after its entry VM fails', () => {
    const [first, second] = createPair();
    first.submitRequest(createCall('request-1'));
    const { refusal } = second.submitRequest(createCall('request-2'));
    expect(refusal).toMatchObject({ code: resultCodes.outcomeUnknown, ran: 'unknown' });
    const restarted = new NodeDriver({
      vm: createEntryVm({ incarnation: 2 }),
      store: first.store,
    });
    expect(restarted.submitRequest(createCall('request-3')).refusal?.code).toBe(
      resultCodes.outcomeUnknown,
    );
    expect([...second.starts, ...restarted.starts]).toEqual([]);
  });

  it('is sent once after the reply to its claim was lost and the claim is read again', () => {
    const driver = new NodeDriver();
    driver.claimsMode = 'lost';
    driver.submitRequest(createCall('request-1'));
    expect(driver.starts).toHaveLength(0);
    driver.claimsMode = 'up';
    driver.advance(200);
    expect(driver.starts).toHaveLength(1);
  });

  it.each<[mode: ClaimsMode]>([['unsent'], ['unanswered'], ['lost'], ['held']])(
    'is refused with ran = no while claim writes are %s, and its key can be used again afterwards',
    (mode) => {
      const driver = new NodeDriver();
      driver.claimsMode = mode;
      const { timeoutMs } = createCall('request-1');
      const answer = driver.submitRequest(createCall('request-1'));
      driver.advance(timeoutMs);
      expect(answer.refusal?.ran).toBe('no');
      expect(answer.refusal?.retryAfterMs).toBeGreaterThan(0);
      expect(driver.starts).toEqual([]);
      driver.claimsMode = 'up';
      driver.advance(LONG_MS);
      const again = driver.submitRequest(createCall('request-2'));
      driver.answerCall('booked');
      expect(again).toMatchObject({ finished: true, text: 'booked' });
    },
  );

  it('is not sent when the insert of its claim takes effect after the refusal', () => {
    const driver = new NodeDriver();
    driver.claimsMode = 'held';
    const answer = driver.submitRequest(createCall('request-1', { timeoutMs: 1_000 }));
    driver.advance(1_000);
    expect(answer.refusal).toMatchObject({ code: resultCodes.timeout, ran: 'no' });
    // The insert of the result overtakes the insert of the claim, which then conflicts.
    driver.heldCalls.reverse();
    driver.releaseHeld();
    driver.applyHeld();
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'notRun' });
    expect(driver.starts).toEqual([]);
  });

  it('is not sent if its claim is granted after the deadline, while the process is suspended', () => {
    const driver = new NodeDriver();
    driver.claimsMode = 'held';
    const call = createCall('request-1');
    const answer = driver.submitRequest(call);
    driver.suspend(call.timeoutMs);
    driver.claimsMode = 'up';
    driver.releaseHeld();
    expect(driver.starts).toEqual([]);
    expect(answer.refusal).toMatchObject({ code: resultCodes.timeout, ran: 'no' });
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'notRun' });
  });

  it('passes its deadline to the driver, which checks it again before it sends', () => {
    const driver = new NodeDriver();
    driver.advance(500);
    const call = createCall('request-1');
    driver.submitRequest(call);
    expect(driver.lastStart.deadlineMs).toBe(500 + call.timeoutMs);
  });

  it.each<[failure: AttemptFailure, withHead: boolean, code: string, ran: string, state: string]>([
    ['broken', false, 'outcomeUnknown', 'unknown', 'unknown'],
    ['broken', true, 'answerTruncated', 'yes', 'unknown'],
    ['invalid', false, 'outcomeUnknown', 'unknown', 'unknown'],
    ['notSent', true, 'answerTruncated', 'yes', 'unknown'],
    ['rejected', true, 'answerTruncated', 'yes', 'unknown'],
  ])('is never sent again after %s (head received: %s)', (failure, withHead, code, ran, state) => {
    const driver = new NodeDriver();
    const answer = driver.submitRequest(createCall('request-1'));
    if (withHead) driver.sendHead({ status: 201, headers: {} });
    driver.fail(failure);
    driver.advance(LONG_MS);
    expect(answer).toMatchObject({ finals: 1, refusal: { code: { name: code }, ran } });
    expect(driver.readClaim(KEY)).toMatchObject({ state });
    expect(driver.submitRequest(createCall('request-2')).refusal?.code).toBe(
      resultCodes.outcomeUnknown,
    );
    expect(driver.starts).toHaveLength(1);
  });

  it.each<[AttemptFailure]>([['notSent'], ['rejected']])(
    'is sent to another replica under the same claim after %s',
    (failure) => {
      const endpoints = [createReplica(), createReplica({ id: 'booking-b1' })];
      const driver = new NodeDriver({ configuration: createConfiguration({ endpoints }) });
      const answer = driver.submitRequest(createCall('request-1'));
      driver.fail(failure);
      driver.advance(200);
      expect(driver.starts.map(({ endpoint }) => endpoint.id).sort()).toEqual([
        'booking-a1',
        'booking-b1',
      ]);
      driver.answerCall('booked');
      expect(answer.finished).toBe(true);
      expect(driver.claimWriteCount).toBe(2);
    },
  );

  it('frees its key if no replica received it before the deadline', () => {
    const driver = new NodeDriver();
    const answer = driver.submitRequest(createCall('request-1', { timeoutMs: 20 }));
    driver.fail('notSent');
    expect(answer).toMatchObject({ finals: 1, refusal: { ran: 'no' } });
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'notRun' });
  });

  it('is claimed again by exactly one of two entry VMs after it did not run', () => {
    const [first, second] = createPair();
    first.submitRequest(createCall('request-1', { timeoutMs: 20 }));
    first.fail('notSent');
    first.advance(20);
    expect(first.readClaim(KEY)).toMatchObject({ state: 'notRun' });
    [first, second].forEach((driver, index) => {
      driver.claimsMode = 'held';
      driver.submitRequest(createCall(`request-${index + 2}`));
    });
    // Both inserts conflict with the existing row, then both entry VMs try to replace it.
    [first, second, first, second].forEach((driver) => driver.releaseHeld());
    expect(first.starts.length - 1 + second.starts.length).toBe(1);
  });

  it('continues after its caller has left, so that a repetition gets the answer', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    driver.dispatch({ kind: 'request.abandoned', requestId: 'request-1' });
    expect(driver.cancelled).toEqual([]);
    expect(driver.node.readStatus().requests[0]?.state).toBe('draining');
    driver.answerCall('booked');
    expect(driver.submitRequest(createCall('request-2'))).toMatchObject({ text: 'booked' });
    expect(driver.answers.get('request-1')).toMatchObject({ finals: 0, text: '' });
  });

  it('stores an answer that arrives after the deadline, while the process is suspended', () => {
    const driver = new NodeDriver();
    const answer = driver.submitRequest(createCall('request-1'));
    driver.sendHead({ status: 201, headers: {} });
    driver.sendBody(0, 'booked');
    driver.suspend(LONG_MS);
    driver.end('booked'.length);
    expect(answer.refusal).toMatchObject({ code: resultCodes.timeout, ran: 'yes' });
    expect(driver.submitRequest(createCall('request-2'))).toMatchObject({ text: 'booked' });
  });

  it('has its answer written once the table service is available again', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    driver.claimsMode = 'lost';
    driver.answerCall('booked');
    driver.claimsMode = 'up';
    driver.advance(LONG_MS);
    expect(driver.readClaim(KEY)).toMatchObject({ state: 'answered' });
  });

  it('delays a drain until its result is written, for at most 30 s', () => {
    const driver = new NodeDriver();
    driver.submitRequest(createCall('request-1'));
    driver.claimsMode = 'unsent';
    driver.answerCall('booked');
    driver.dispatch({ kind: 'drainRequested' });
    driver.advance(29_000);
    expect(driver.readiness).toBe('leaving');
    driver.advance(1_000);
    expect(driver.readiness).toBe('drained');
  });
});

describe('a non-idempotent call without a key', () => {
  const unkeyed = createCall('request-1', { idempotencyKey: undefined });
  const createDriver = (unkeyedCalls: 'sendOnce' | 'refuse'): NodeDriver => {
    const services = [{ id: 'booking', defaultTimeoutMs: 5_000, unkeyedCalls, calls: [] }];
    return new NodeDriver({ configuration: createConfiguration({ services }) });
  };

  it('is refused if its service requires a key', () => {
    const { refusal } = createDriver('refuse').submitRequest(unkeyed);
    expect(refusal).toMatchObject({ code: resultCodes.keyRequired, ran: 'no' });
  });

  it.each<[failure: AttemptFailure, ran: string]>([
    ['notSent', 'no'],
    ['rejected', 'no'],
    ['broken', 'unknown'],
    ['invalid', 'unknown'],
  ])('is sent once over a fresh connection, also after %s', (failure, ran) => {
    const driver = createDriver('sendOnce');
    driver.claimsMode = 'unsent';
    const answer = driver.submitRequest(unkeyed);
    expect(driver.lastStart.connection).toBe('fresh');
    driver.fail(failure);
    driver.advance(LONG_MS);
    expect(driver.starts).toHaveLength(1);
    expect(answer).toMatchObject({ finals: 1, refusal: { ran } });
  });
});
