import { resultCodes } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { estimateBackoffMs } from '../../src/retries/backoff.js';
import {
  MAX_BACKOFF_MS,
  RETRY_TOKENS_RESERVED_FOR_STREAMS,
  RETRY_BURST,
} from '../../src/retries/consts.js';
import { RetryBudgets } from '../../src/retries/retry-budgets.js';
import { createConfiguration, createEngine, createReplica } from '../fixtures/configurations.js';
import { createModelContract, createServiceContract } from '../fixtures/contracts.js';
import { NodeDriver, type Answer } from '../fixtures/node-driver.js';

const BACKOFF_MS = 500;

const createDriver = (): NodeDriver =>
  new NodeDriver({
    configuration: createConfiguration({
      endpoints: [createEngine(), createEngine({ id: 'engine-b1', failureDomain: 'b' })],
    }),
  });

const receiveTwo = (driver: NodeDriver): Answer => {
  const answer = driver.submitRequest(createModelContract());
  driver.sendHead();
  driver.sendText(0, 'one ');
  driver.sendText(1, 'two ');
  return answer;
};

/** Breaks the stream, and then the connection over which it is resumed. */
const loseEngine = (driver: NodeDriver): void => {
  driver.fail('broken');
  driver.advance(BACKOFF_MS);
  driver.fail('notSent');
  driver.advance(BACKOFF_MS);
};

describe('a stream that breaks', () => {
  it('is resumed at its offset on the same engine', () => {
    const driver = createDriver();
    const answer = receiveTwo(driver);
    const [first] = driver.starts;
    driver.fail('broken');
    driver.advance(BACKOFF_MS);
    expect(driver.lastStart).toMatchObject({
      mode: 'resume',
      offset: 2,
      streamId: first?.streamId,
      endpoint: first?.endpoint,
    });
    driver.sendHead();
    driver.sendText(2, 'three');
    driver.end(3);
    expect(answer).toMatchObject({ finished: true, text: 'one two three', finals: 1 });
  });

  it('is generated again on another engine, and only the missing rest is sent', () => {
    const driver = createDriver();
    const answer = receiveTwo(driver);
    loseEngine(driver);
    const [first] = driver.starts;
    expect(driver.lastStart).toMatchObject({ mode: 'new', offset: 0 });
    expect(driver.lastStart.endpoint.id).not.toBe(first?.endpoint.id);
    expect(driver.engineCalls.map(({ call }) => call)).toContainEqual({
      kind: 'stream.cancel',
      streamId: first?.streamId,
    });
    driver.sendHead();
    ['one ', 'two ', 'three'].forEach((text, index) => driver.sendText(index, text));
    driver.end(3);
    expect(answer).toMatchObject({ finished: true, text: 'one two three', finals: 1 });
  });

  it.each<[name: string, texts: string[]]>([
    ['differs', ['one ', 'too ', 'three']],
    ['is shorter', ['one ']],
  ])('ends with an error where the regenerated text %s', (_name, texts) => {
    const driver = createDriver();
    const answer = receiveTwo(driver);
    loseEngine(driver);
    driver.sendHead();
    texts.forEach((text, index) => driver.sendText(index, text));
    driver.end(texts.length);
    expect(answer).toMatchObject({
      text: 'one two ',
      finals: 1,
      refusal: { code: resultCodes.answerDiverged, ran: 'yes' },
    });
  });

  it('fails at once where no time is left for another attempt', () => {
    const driver = createDriver();
    const contract = createModelContract();
    const answer = driver.submitRequest(contract);
    driver.advance(contract.timeoutMs - 20);
    driver.fail('broken');
    expect(answer).toMatchObject({ finals: 1, refusal: { ran: 'unknown' } });
    expect(answer.refusal?.retryAfterMs).toBeGreaterThan(0);
  });

  it('is retried only a limited number of times', () => {
    const driver = createDriver();
    const answer = driver.submitRequest(createModelContract({ timeoutMs: 600_000 }));
    for (let round = 0; round < 20 && answer.finals === 0; round += 1) {
      driver.fail('broken');
      driver.advance(10_000);
    }
    expect(answer.finals).toBe(1);
    expect(driver.starts.length).toBeLessThanOrEqual(6);
  });
});

describe('an idempotent call of a plain service', () => {
  it('goes to another replica until its head has been forwarded', () => {
    const endpoints = [createReplica(), createReplica({ id: 'booking-b1' })];
    const driver = new NodeDriver({ configuration: createConfiguration({ endpoints }) });
    const contract = createServiceContract({ idempotency: 'idempotent' });
    const answer = driver.submitRequest(contract);
    driver.fail('broken');
    driver.advance(BACKOFF_MS);
    expect(new Set(driver.starts.map(({ endpoint }) => endpoint.id)).size).toBe(2);
    driver.sendHead({ status: 200, headers: {} });
    driver.fail('broken');
    driver.advance(BACKOFF_MS);
    expect(driver.starts).toHaveLength(2);
    expect(answer.refusal).toMatchObject({ code: resultCodes.answerTruncated, ran: 'yes' });
  });
});

describe('RetryBudgets', () => {
  const takeAll = (budgets: RetryBudgets, team: string, endpoint: string): number => {
    let taken = 0;
    while (taken < 1_000 && budgets.takeRetry(team, endpoint, 'begun')) taken += 1;
    return taken;
  };

  it('permits retries in proportion to requests', () => {
    const budgets = new RetryBudgets();
    takeAll(budgets, 'counter', 'engine-a1');
    let retries = 0;
    for (let request = 0; request < 1_000; request += 1) {
      budgets.recordRequest('counter', 'engine-a1');
      if (budgets.takeRetry('counter', 'engine-a1', 'begun')) retries += 1;
    }
    expect(retries).toBeGreaterThan(35);
    expect(retries).toBeLessThanOrEqual(40);
  });

  it('takes no token where one of the budgets is used up', () => {
    const budgets = new RetryBudgets();
    takeAll(budgets, 'counter', 'engine-a1');
    for (let request = 0; request < 60; request += 1) budgets.recordRequest('audit', 'engine-b1');
    expect(budgets.takeRetry('counter', 'engine-a1', 'begun')).toBe(false);
    expect(takeAll(budgets, 'audit', 'engine-b1')).toBe(2);
  });

  it('reserves the last tokens for responses that have begun', () => {
    const budgets = new RetryBudgets();
    const take = (): boolean => budgets.takeRetry('counter', 'engine-a1', 'unanswered');
    let taken = 0;
    while (taken < RETRY_BURST && take()) taken += 1;
    expect(taken).toBe(RETRY_BURST - RETRY_TOKENS_RESERVED_FOR_STREAMS);
    expect(takeAll(budgets, 'counter', 'engine-a1')).toBe(RETRY_TOKENS_RESERVED_FOR_STREAMS);
  });
});

describe('estimateBackoffMs', () => {
  it('doubles up to a limit, with jitter over half of it', () => {
    expect(estimateBackoffMs(1, 0)).toBe(25);
    expect(estimateBackoffMs(2, 0)).toBe(50);
    expect(estimateBackoffMs(2, 0.5)).toBe(75);
    expect(estimateBackoffMs(50, 0)).toBe(MAX_BACKOFF_MS / 2);
  });
});
