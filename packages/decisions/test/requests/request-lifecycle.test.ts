import { resultCodes, type Ran, type RequestContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createConfiguration, createEngine, createReplica } from '../fixtures/configurations.js';
import { createModelContract, createServiceContract } from '../fixtures/contracts.js';
import { NodeDriver } from '../fixtures/node-driver.js';

const TIMEOUT_MS = 5_000;
const chat = createModelContract({ timeoutMs: TIMEOUT_MS });
const booking = createServiceContract({ timeoutMs: TIMEOUT_MS });
const lookup = createServiceContract({ timeoutMs: TIMEOUT_MS, idempotency: 'idempotent' });

const createDriver = (): NodeDriver =>
  new NodeDriver({
    configuration: createConfiguration({
      endpoints: [createEngine({ memoryTokens: 2_000 }), createReplica()],
    }),
  });

const occupyEngine = (driver: NodeDriver): void => {
  driver.submitRequest(
    createModelContract({ requestId: 'other', promptTokens: 1_900, timeoutMs: 9_000 }),
  );
};

type DriverAction = (driver: NodeDriver) => void;
type Case = [
  state: string,
  contract: RequestContract,
  prepare: DriverAction,
  reach: DriverAction,
  ran: Ran,
  cancels: number,
];

const doNothing: DriverAction = () => {};
const holdClaims: DriverAction = (driver) => {
  driver.claimsMode = 'held';
};
const receiveFirstToken: DriverAction = (driver) => {
  driver.sendHead();
  driver.sendText(0, 'a');
};
const receiveThenBreak: DriverAction = (driver) => {
  receiveFirstToken(driver);
  driver.fail('broken');
};

const cases: Case[] = [
  ['queued', chat, occupyEngine, doNothing, 'no', 0],
  ['claiming', booking, holdClaims, doNothing, 'no', 0],
  ['connecting', chat, doNothing, doNothing, 'unknown', 1],
  ['connecting', booking, doNothing, doNothing, 'unknown', 1],
  ['streaming', chat, doNothing, receiveFirstToken, 'yes', 1],
  ['streaming', lookup, doNothing, (driver) => driver.sendHead(), 'yes', 1],
  ['resuming', chat, doNothing, receiveThenBreak, 'yes', 0],
  ['backingOff', chat, doNothing, (driver) => driver.fail('notSent'), 'no', 0],
  ['backingOff', chat, doNothing, (driver) => driver.fail('invalid'), 'unknown', 0],
  ['backingOff', lookup, doNothing, (driver) => driver.fail('broken'), 'unknown', 0],
];

const reachState = ([state, contract, prepare, reach]: Case): NodeDriver => {
  const driver = createDriver();
  prepare(driver);
  driver.submitRequest(contract);
  reach(driver);
  const views = driver.node.readStatus().requests;
  expect(views.find(({ requestId }) => requestId === contract.requestId)?.state).toBe(state);
  return driver;
};

describe('the deadline', () => {
  it.each(cases)(
    'ends a request in state %s, of kind %o, immediately and once, with the right value of ran',
    (...testCase) => {
      const [, contract, , , ran, cancels] = testCase;
      const driver = reachState(testCase);
      // After a suspension past the deadline, a timer that was due earlier must start nothing.
      const starts = driver.starts.length;
      driver.suspend(TIMEOUT_MS);
      driver.dispatch({ kind: 'woken' });
      expect(driver.answers.get(contract.requestId)).toMatchObject({
        finals: 1,
        finished: false,
        refusal: { code: resultCodes.timeout, ran },
      });
      expect(driver.starts).toHaveLength(starts);
      expect(driver.cancelled).toHaveLength(cancels);
    },
  );

  it('ends a call whose caller has left, without an answer', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(booking);
    driver.dispatch({ kind: 'request.abandoned', requestId: booking.requestId });
    driver.advance(TIMEOUT_MS);
    expect(driver.node.readStatus().requests).toEqual([]);
    expect(driver.cancelled).toHaveLength(1);
    expect(answer.finals).toBe(0);
  });

  it('prevents a start when a slot becomes free after it', () => {
    const driver = createDriver();
    occupyEngine(driver);
    const answer = driver.submitRequest(chat);
    receiveFirstToken(driver);
    driver.suspend(TIMEOUT_MS);
    driver.end(1);
    expect(driver.starts).toHaveLength(1);
    expect(answer.refusal).toMatchObject({ code: resultCodes.timeout, ran: 'no' });
  });

  it('prevents an answer from being finished after it', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(chat);
    receiveFirstToken(driver);
    driver.suspend(TIMEOUT_MS);
    driver.end(1);
    expect(answer).toMatchObject({ finals: 1, finished: false, text: 'a' });
  });
});

describe('answers of endpoints', () => {
  it('are finished only if they have as many tokens as the end marker states', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(chat);
    receiveFirstToken(driver);
    driver.end(2);
    expect(answer.finals).toBe(0);
    expect(driver.cancelled).toEqual([driver.lastStart.attemptId]);
  });

  it.each<[name: string, violate: DriverAction]>([
    ['an end before the head', (driver) => driver.end(0)],
    ['text before the head', (driver) => driver.sendText(0, 'x')],
    [
      'a gap',
      (driver) => {
        receiveFirstToken(driver);
        driver.sendText(2, 'x');
      },
    ],
    ['another stream', (driver) => driver.fail('invalid')],
  ])('that violate the protocol by %s reach no caller', (_name, violate) => {
    const driver = createDriver();
    const answer = driver.submitRequest(chat);
    violate(driver);
    expect(answer.text).not.toContain('x');
    expect(answer.finals).toBe(0);
    driver.advance(200);
    expect(driver.starts).toHaveLength(2);
  });

  it('that arrive late or twice change nothing', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(chat);
    const { attemptId: first } = driver.lastStart;
    driver.fail('notSent');
    driver.advance(200);
    driver.sendText(0, 'late', first);
    driver.end(0, first);
    driver.fail('broken', first);
    receiveFirstToken(driver);
    driver.sendHead();
    driver.sendText(0, 'a');
    driver.end(1);
    driver.end(1);
    expect(answer).toMatchObject({ finals: 1, finished: true, text: 'a' });
  });

  it('to a request that arrives twice are sent once', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(chat);
    driver.dispatch({ kind: 'request.arrived', contract: chat });
    receiveFirstToken(driver);
    driver.end(1);
    expect(answer.finals).toBe(1);
    expect(driver.starts).toHaveLength(1);
  });
});
