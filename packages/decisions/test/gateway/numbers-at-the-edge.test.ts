import fc from 'fast-check';
import type {
  EngineTraits,
  EngineWork,
  GatewayConfiguration,
  GatewayEndpoint,
  LimitObservation,
  Route,
} from '@savorywind/model';
import { createStreamRoute } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import type { GatewayEffect, GatewayEvent } from '../../src/gateway/types.js';
import {
  createConfiguration,
  createEndpoint,
  createHead,
  createWork,
  GatewayDriver,
} from '../fixtures/gateway-driver.js';

/** Numbers that decoders let through at the edges of their ranges. */
const EDGES = [0, 1e-9, 1, 2 ** 31, 2 ** 53, 1e15, 1e100, Number.MAX_VALUE];

const edge = fc.constantFrom(...EDGES);
const positive = fc.constantFrom(...EDGES.slice(1));
const ordinary = fc.integer({ min: 1, max: 20_000 });
const anyNumber = fc.oneof(ordinary, edge);
const anyPositive = fc.oneof(ordinary, positive);
const slots = fc.oneof(fc.integer({ min: 1, max: 20 }), fc.constant(Number.MAX_SAFE_INTEGER));

/** A gateway's run with one request on each route, and what endpoints and peers say meanwhile. */
interface Run {
  readonly traits: EngineTraits;
  readonly route: Partial<Route>;
  readonly slots: number;
  readonly startedAtMs: number;
  readonly waitsMs: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly work: EngineWork;
  readonly limit: Omit<LimitObservation, 'endpoint'>;
  readonly retryAfterMs: number;
  readonly requestLimit: number;
  readonly ages: number;
}

const runs: fc.Arbitrary<Run> = fc.record({
  traits: fc.record({
    slots,
    memoryTokens: anyPositive,
    stepsPerPass: anyPositive,
    stepMs: anyNumber,
    stepMsPerWriter: anyNumber,
    stepMsPerThousandContext: anyNumber,
    readTokensPerMs: anyPositive,
    readMsPerMillionPairs: anyNumber,
    chunkTokens: anyPositive,
  }),
  route: fc.record({
    timeoutMs: anyPositive,
    targetLatencyMs: anyPositive,
    priority: fc.oneof(edge, fc.constant(-1)),
    maxAttempts: slots,
    maxEventGapMs: anyPositive,
  }),
  slots,
  startedAtMs: edge,
  waitsMs: fc.integer({ min: 0, max: 999_999_999_999 }),
  promptTokens: fc.integer({ min: 0, max: 999_999_999_999 }),
  maxOutputTokens: fc.integer({ min: 0, max: 999_999_999_999 }),
  work: fc.record({
    endpoint: fc.constant('engine-1'),
    writers: anyNumber,
    tightWriters: anyNumber,
    tightGapMs: anyNumber,
    readers: anyNumber,
    longReaders: anyNumber,
    readMs: anyNumber,
    memoryTokens: anyNumber,
  }),
  limit: fc.record({ perSecond: anyNumber, ageMs: anyNumber }),
  retryAfterMs: anyNumber,
  requestLimit: anyNumber,
  ages: anyNumber,
});

const describeConfiguration = ({ traits, route }: Run): GatewayConfiguration => {
  const { services, routes } = createConfiguration();
  return createConfiguration({
    routes: [...routes, createStreamRoute({ ...route, name: 'edge', prefix: '/edge/' })],
    services: services.map((service) =>
      service.engine === undefined ? service : { ...service, engine: traits },
    ),
  });
};

const listEndpoints = (run: Run): GatewayEndpoint[] => [
  createEndpoint('engine-1', { slots: run.slots, startedAtMs: run.startedAtMs }),
  createEndpoint('engine-2'),
  createEndpoint('booking-1', { service: 'booking', slots: 6 }),
];

const describePeer = (run: Run): GatewayEvent => ({
  kind: 'peer.received',
  snapshot: {
    from: { id: 'vm-2', failureDomain: 'b', address: { host: '10.0.1.2', port: 7_000 } },
    incarnation: run.ages,
    sequence: 1,
    work: [run.work, createWork('engine-2')],
    configuration: { version: run.ages, ageMs: run.ages },
    limits: [{ endpoint: 'engine-1', ...run.limit }],
    leaving: [{ endpoint: 'engine-2', startedAtMs: run.ages, ageMs: run.ages }],
    harm: [
      {
        suspect: 'part/pool/m/a',
        depth: run.ages,
        crashes: [{ process: 1, request: run.ages, tookMs: run.ages, ageMs: run.ages }],
        begunAgeMs: run.ages,
        triedAgeMs: run.ages,
      },
    ],
    storeAvailableMs: run.ages,
    forwarding: { isAccepting: true, lostServices: [] },
  },
});

const listNumbers = (value: unknown): number[] => {
  if (typeof value === 'number') return [value];
  if (typeof value !== 'object' || value === null) return [];
  return Object.values(value).flatMap(listNumbers);
};

/** Effects whose numbers reach timers, headers and peers. */
const SENT: ReadonlySet<GatewayEffect['kind']> = new Set([
  'attempt.start',
  'attempt.forward',
  'caller.refuse',
  'reservation.ask',
  'path.probe',
  'peers.send',
  'permit.request',
  'permit.answer',
]);

const play = (run: Run): GatewayDriver => {
  const driver = new GatewayDriver();
  driver.start(listEndpoints(run), describeConfiguration(run));
  driver.dispatch(describePeer(run));
  const { waitsMs, promptTokens, maxOutputTokens } = run;
  const request = { waitsMs, promptTokens, maxOutputTokens, model: 'm', sharedParts: ['a'] };
  const ids = ['/edge/1', '/review/1', '/booking/1', '/balance/1'].map((path) =>
    driver.request(path, request),
  );
  ids.forEach((id) => {
    const attempt = driver.findAttempt(id);
    if (attempt === undefined) return;
    const { attemptId, endpoint } = attempt;
    const notice = { leaving: 'no', retryAfterMs: run.retryAfterMs } as const;
    driver.dispatch({ kind: 'attempt.limitReported', attemptId, limit: run.requestLimit });
    driver.dispatch({
      kind: 'endpoint.noticeReported',
      endpoint: { id: endpoint.id, startedAtMs: endpoint.startedAtMs },
      notice,
    });
    driver.dispatch({ kind: 'attempt.failed', attemptId, failure: 'rejected', detail: 'test' });
  });
  driver.dispatch({
    kind: 'permit.requested',
    request: {
      permitId: 'p',
      replyTo: { host: '10.0.1.2', port: 7_000 },
      limit: { endpoint: 'engine-1', ...run.limit },
      maxDelayMs: run.ages,
    },
  });
  driver.request('/edge/2', request);
  driver.advance(2_000);
  return driver;
};

describe('numbers at the edge of their range', () => {
  it('neither stop the decisions nor leave them as numbers that no timer or header can hold', () => {
    fc.assert(
      fc.property(runs, (run) => {
        const driver = play(run);
        driver.effects
          .filter(({ kind }) => SENT.has(kind))
          .forEach((effect) => {
            const bad = listNumbers(effect).filter((number) => !Number.isFinite(number));
            expect(bad, JSON.stringify(effect)).toEqual([]);
          });
        driver.list('attempt.start').forEach(({ timeoutMs, connectTimeoutMs }) => {
          expect(timeoutMs).toBeGreaterThanOrEqual(0);
          expect(connectTimeoutMs).toBeGreaterThanOrEqual(0);
        });
      }),
      { numRuns: 300, seed: 47 },
    );
  });

  it('do not keep a request of a sound route from its final answer', () => {
    fc.assert(
      fc.property(runs, (run) => {
        const driver = play({ ...run, waitsMs: 10_000, promptTokens: 0 });
        const requestId = driver.request('/balance/2', { promptTokens: 0 });
        const attempt = driver.findAttempt(requestId);
        if (attempt !== undefined) {
          const { attemptId } = attempt;
          const head = createHead({ content: 'whole' });
          driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
          driver.dispatch({ kind: 'attempt.ended', attemptId });
          const finished = driver.list('caller.finish').map((effect) => effect.requestId);
          expect(finished).toContain(requestId);
          return;
        }
        // The service may have named a time to come back, and an entry VM that waits for it has to refuse.
        driver.advance(10_000);
        expect(driver.findRefusal(requestId)?.reason).toBeDefined();
      }),
      { numRuns: 100, seed: 47 },
    );
  });
});
