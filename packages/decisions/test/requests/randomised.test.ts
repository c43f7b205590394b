import fc from 'fast-check';
import type { RequestContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { AttemptFailure } from '../../src/index.js';
import { createConfiguration, createEngine, createReplica } from '../fixtures/configurations.js';
import {
  createEntryVm,
  createModelContract,
  createServiceContract,
} from '../fixtures/contracts.js';
import { createStore, NodeDriver, type ClaimsMode } from '../fixtures/node-driver.js';

const RUNS = 1_000;
const STEPS = 60;
const TIMEOUT_MS = 4_000;
const LONG_MS = 120_000;
const BODY = 'booked';
const TEXTS = ['one ', 'two ', 'three '];

type CallKind = 'chat' | 'keyed' | 'unkeyed' | 'lookUp';

/** Numbers select entry VMs and attempts by remainder; ended attempts also get events. */
type Step =
  | {
      readonly kind: 'arrive';
      readonly vm: number;
      readonly call: CallKind;
      readonly key: number;
    }
  | {
      readonly kind: 'report';
      readonly attempt: number;
      readonly event: 'head' | 'chunk' | 'end' | 'answer' | AttemptFailure;
      readonly at: number;
    }
  | { readonly kind: 'claims'; readonly vm: number; readonly mode: ClaimsMode }
  | { readonly kind: 'release' | 'apply' | 'abandon'; readonly vm: number }
  | { readonly kind: 'advance' | 'freeze'; readonly ms: number };

const index = fc.nat({ max: 100 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('arrive' as const),
      vm: index,
      call: fc.constantFrom<CallKind>('chat', 'keyed', 'keyed', 'unkeyed', 'lookUp'),
      key: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('report' as const),
      attempt: index,
      event: fc.constantFrom(
        'head',
        'chunk',
        'chunk',
        'end',
        'answer',
        'notSent',
        'rejected',
        'broken',
        'invalid',
      ),
      at: fc.nat({ max: 3 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('claims' as const),
      vm: index,
      mode: fc.constantFrom<ClaimsMode>('up', 'up', 'held', 'lost', 'unsent', 'unanswered'),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('release', 'apply', 'abandon'), vm: index }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom('advance', 'advance', 'freeze'),
      ms: fc.oneof(
        fc.integer({ min: 1, max: 1_500 }),
        fc.integer({ min: TIMEOUT_MS - 500, max: TIMEOUT_MS + 500 }),
      ),
    }),
  },
);

interface TrackedAttempt {
  readonly driver: NodeDriver;
  readonly attemptId: string;
  readonly contract: RequestContract;
  hasSentHead: boolean;
  hasEnded: boolean;
  isProvenNotRun: boolean;
}

const createContract = (call: CallKind, requestId: string, key: number): RequestContract => {
  const base = { requestId, timeoutMs: TIMEOUT_MS };
  if (call === 'chat') return createModelContract(base);
  if (call === 'lookUp') return createServiceContract({ ...base, idempotency: 'idempotent' });
  const idempotencyKey = call === 'keyed' ? `key-${key}` : undefined;
  return createServiceContract({ ...base, idempotencyKey });
};

/** Two entry VMs with endpoints and a table service that fail in any way that causality permits. */
class RandomisedRun {
  private readonly drivers: NodeDriver[];

  private readonly contracts = new Map<string, RequestContract>();

  private readonly abandoned = new Set<string>();

  constructor() {
    const configuration = createConfiguration({
      services: [{ id: 'booking', defaultTimeoutMs: 5_000, unkeyedCalls: 'sendOnce', calls: [] }],
      endpoints: [
        createEngine({ memoryTokens: 1_500 }),
        createEngine({ id: 'engine-b1', memoryTokens: 1_500 }),
        createReplica(),
        createReplica({ id: 'booking-b1' }),
      ],
    });
    const store = createStore(configuration);
    this.drivers = ['entry-a1', 'entry-b1'].map(
      (id) => new NodeDriver({ vm: createEntryVm({ id }), store }),
    );
  }

  private readonly attempts = new Map<string, TrackedAttempt>();

  run(steps: readonly Step[]): void {
    steps.forEach((step) => {
      this.applyStep(step);
      this.updateAttempts();
    });
    this.drivers.forEach((driver) => {
      driver.claimsMode = 'up';
      driver.advance(LONG_MS);
    });
    this.updateAttempts();
  }

  check(): void {
    const runsByKey = new Map<string, number>();
    this.attempts.forEach(({ contract, isProvenNotRun }) => {
      if (isProvenNotRun || contract.kind !== 'service') return;
      if (contract.idempotency === 'idempotent') return;
      const key = contract.idempotencyKey ?? contract.requestId;
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
    });
    expect(Math.max(0, ...runsByKey.values())).toBeLessThanOrEqual(1);
    this.drivers.forEach((driver) => this.checkAnswers(driver));
  }

  private checkAnswers(driver: NodeDriver): void {
    expect(driver.node.readStatus().requests).toEqual([]);
    driver.answers.forEach((answer, requestId) => {
      expect(answer.finals).toBe(this.abandoned.has(requestId) ? answer.finals : 1);
      expect(answer.finals).toBeLessThanOrEqual(1);
      if (answer.refusal?.ran === 'no') {
        const mayHaveRun = [...this.attempts.values()].some(
          ({ contract, isProvenNotRun }) => contract.requestId === requestId && !isProvenNotRun,
        );
        expect(mayHaveRun).toBe(false);
      }
      const expectedText = this.contracts.get(requestId)?.kind === 'model' ? TEXTS.join('') : BODY;
      if (answer.finished) expect(answer.text).toBe(expectedText);
      else expect(expectedText.startsWith(answer.text)).toBe(true);
    });
  }

  private updateAttempts(): TrackedAttempt[] {
    this.drivers.forEach((driver) =>
      driver.starts.forEach(({ attemptId, requestId }) => {
        const contract = this.contracts.get(requestId);
        if (this.attempts.has(attemptId) || contract === undefined) return;
        this.attempts.set(attemptId, {
          driver,
          attemptId,
          contract,
          hasSentHead: false,
          hasEnded: false,
          isProvenNotRun: false,
        });
      }),
    );
    return [...this.attempts.values()];
  }

  private pickDriver(vm: number): NodeDriver {
    return this.drivers[vm % this.drivers.length]!;
  }

  private applyStep(step: Step): void {
    switch (step.kind) {
      case 'arrive': {
        const contract = createContract(step.call, `request-${this.contracts.size}`, step.key);
        this.contracts.set(contract.requestId, contract);
        this.pickDriver(step.vm).submitRequest(contract);
        break;
      }
      case 'report':
        this.report(step.attempt, step.event, step.at);
        break;
      case 'claims':
        this.pickDriver(step.vm).claimsMode = step.mode;
        break;
      case 'release':
        this.pickDriver(step.vm).releaseHeld();
        break;
      case 'apply':
        this.pickDriver(step.vm).applyHeld();
        break;
      case 'abandon':
        this.abandon(this.pickDriver(step.vm));
        break;
      case 'advance':
        this.drivers.forEach((driver) => driver.advance(step.ms));
        break;
      default:
        this.drivers.forEach((driver) => driver.suspend(step.ms));
    }
  }

  private abandon(driver: NodeDriver): void {
    const requestId = driver.node.readStatus().requests[0]?.requestId;
    if (requestId === undefined) return;
    this.abandoned.add(requestId);
    driver.dispatch({ kind: 'request.abandoned', requestId });
  }

  private report(
    attemptNumber: number,
    event: Extract<Step, { kind: 'report' }>['event'],
    at: number,
  ): void {
    const attempts = this.updateAttempts();
    const attempt = attempts[attemptNumber % Math.max(1, attempts.length)];
    if (attempt === undefined) return;
    const { driver, attemptId, contract } = attempt;
    const isChat = contract.kind === 'model';
    const sendHead = (): void => {
      attempt.hasSentHead = true;
      const head = isChat ? undefined : { status: 200, headers: {} };
      driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
    };
    const sendChunk = (offset: number): void => {
      const part = isChat ? TEXTS[offset] : BODY.slice(offset);
      if (part === undefined || part === '') return;
      const data = isChat ? part : new TextEncoder().encode(part);
      const count = isChat ? 1 : part.length;
      driver.dispatch({ kind: 'attempt.chunkReceived', attemptId, offset, count, data });
    };
    const end = (): void => {
      attempt.hasEnded = true;
      const total = isChat ? TEXTS.length : BODY.length;
      driver.end(total, attemptId);
    };
    if (event === 'head') sendHead();
    else if (event === 'chunk') sendChunk(at);
    else if (event === 'end') end();
    else if (event === 'answer') {
      sendHead();
      (isChat ? TEXTS : [BODY]).forEach((_part, offset) => sendChunk(offset));
      end();
    } else {
      // An endpoint that has started to answer can't prove that it did not run the call.
      const provesNotRun = event === 'notSent' || event === 'rejected';
      if (provesNotRun && attempt.hasSentHead) return;
      if (!attempt.hasEnded) attempt.isProvenNotRun = provesNotRun;
      attempt.hasEnded = true;
      driver.fail(event, attemptId);
    }
  }
}

describe('the request lifecycle under events in any order', () => {
  it('keeps its guarantees to callers', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: STEPS / 2, maxLength: STEPS }), (steps) => {
        const run = new RandomisedRun();
        run.run(steps);
        run.check();
      }),
      { seed: 1, numRuns: RUNS },
    );
  });
});
