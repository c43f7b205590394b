import { describe, expect, it } from 'vitest';
import { LARGE_FLEET } from '../../fixtures/fleet-driver.js';
import { createEndpoint, createHead } from '../../fixtures/gateway-driver.js';
import { BegunHistory } from '../../../src/gateway/harm/begun-history.js';
import {
  APART_MS,
  CrashingEngines,
  createCrashes,
  createHarm,
} from '../../fixtures/crashing-engines.js';

const HARMFUL = { reason: 'harmful', retryAfterMs: undefined } as const;
const BAD = ['aa', 'bad'];

/** Has three engines end under requests with a part. */
const block = (driver: CrashingEngines, parts: readonly string[] = BAD): void => {
  for (let crash = 0; crash < 3; crash += 1) driver.crashOnce(parts);
};

describe('a part under which three engines were lost', () => {
  it('is refused at once, as not executed and without a time to come back', () => {
    const driver = new CrashingEngines();
    block(driver);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('is not refused as not executed to a caller whose request may have run', () => {
    const driver = new CrashingEngines();
    driver.crashTwice(BAD);
    const requestId = driver.crash(BAD);
    driver.advance(APART_MS);
    driver.loseEngine(requestId);
    expect(driver.findRefusal(requestId)).toEqual({ reason: 'broken', retryAfterMs: undefined });
  });

  it('is not refused after two', () => {
    const driver = new CrashingEngines();
    for (let crash = 0; crash < 2; crash += 1) driver.crashOnce(BAD);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('is not refused for another model or service', () => {
    const driver = new CrashingEngines();
    block(driver);
    expect(driver.findRefusalOf(BAD, { model: 'other' })).toBeUndefined();
    expect(driver.findRefusalOf(BAD, { model: undefined })).toBeUndefined();
  });

  it('blocks neither the first part that all requests of a caller have nor the other ones', () => {
    const driver = new CrashingEngines();
    driver.answer(['aa', 'bb']);
    block(driver);
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
    expect(driver.findRefusalOf(['aa', 'cc'])).toBeUndefined();
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('is blamed rather than a first part of which nothing is known yet', () => {
    const driver = new CrashingEngines();
    block(driver);
    expect(driver.findRefusalOf(['aa', 'cc'])).toBeUndefined();
  });

  it('is found although another harmful part crashes engines at the same time', () => {
    const driver = new CrashingEngines();
    for (let crash = 0; crash < 3; crash += 1) {
      driver.crashOnce(['aa', 'bad']);
      driver.crashOnce(['aa', 'worse']);
      driver.answer(['aa', 'good']);
    }
    expect(driver.findRefusalOf(['aa', 'bad'])).toEqual(HARMFUL);
    expect(driver.findRefusalOf(['aa', 'worse'])).toEqual(HARMFUL);
    expect(driver.findRefusalOf(['aa', 'good'])).toBeUndefined();
  });
});

describe('a part under which three engines were lost after the first event of their answers', () => {
  it('is refused, and the other parts are not', () => {
    const driver = new CrashingEngines();
    for (let crash = 0; crash < 3; crash += 1) driver.crashAfterEvent(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    expect(driver.findRefusalOf(['aa', 'cc'])).toBeUndefined();
  });

  it('gets no further engine for a stream that has begun, which is broken off', () => {
    const driver = new CrashingEngines();
    for (let crash = 0; crash < 2; crash += 1) driver.crashAfterEvent(BAD);
    const requestId = driver.begin(BAD);
    driver.crashAfterEvent(BAD);
    const attempts = driver.list('attempt.start').length;
    driver.loseEngine(requestId);
    expect(driver.list('attempt.start')).toHaveLength(attempts);
    expect(driver.list('caller.breakOff')).toEqual([{ kind: 'caller.breakOff', requestId }]);
  });

  it('stays refused when the answer to its trial begins, and engines end after it', () => {
    const driver = new CrashingEngines();
    for (let crash = 0; crash < 3; crash += 1) driver.crashAfterEvent(BAD);
    driver.advance(1_000);
    const trial = driver.begin(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    driver.advance(APART_MS);
    driver.loseEngine(trial);
    driver.advance(2_000);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('is refused although another entry VM has passed on the first events of its answers', () => {
    const driver = new CrashingEngines();
    createCrashes(2).forEach((crash) =>
      driver.receiveHarm([createHarm('part/pool/llm/bad', [crash])]),
    );
    driver.crashAfterEvent(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });
});

describe('a prompt of many parts', () => {
  const listParts = (prompt: number, count: number): string[] =>
    Array.from({ length: count }, (_, index) => `own-${prompt}-${index}`);

  /** A prompt with a harmful part as the last but one of the shared ones. */
  const createLong = (prompt: number, count: number): string[] => [
    ...listParts(prompt, count - 2),
    'bad',
    'end',
  ];

  it.each([42, 256])('is refused for the last but one of its %i parts', (count) => {
    const driver = new CrashingEngines();
    driver.answer([...listParts(0, count - 1), 'end']);
    for (let prompt = 1; prompt <= 3; prompt += 1) driver.crashOnce(createLong(prompt, count));
    expect(driver.findRefusalOf(createLong(4, count))).toEqual(HARMFUL);
    expect(driver.findRefusalOf([...listParts(5, count - 1), 'end'])).toBeUndefined();
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('is refused by name if it has more parts than can be told apart, and not sent', () => {
    const driver = new CrashingEngines();
    expect(driver.findRefusalOf(listParts(1, 257))).toEqual({
      reason: 'tooManyParts',
      retryAfterMs: undefined,
    });
    expect(driver.list('attempt.start')).toEqual([]);
    expect(driver.findRefusalOf(listParts(1, 256))).toBeUndefined();
  });

  it('has each of its parts told to the peers after one loss', () => {
    const driver = new CrashingEngines();
    const parts = createLong(1, 256);
    // A peer that is heard gets each change.
    driver.receiveHarm([]);
    driver.crashOnce(parts);
    driver.receiveHarm([]);
    driver.advance(500);
    const untold = parts.filter((part) => driver.listHostsTold(`part/pool/llm/${part}`).size === 0);
    expect(untold).toEqual([]);
  });
});

describe('a part under which five engines were lost at one moment', () => {
  /** Sends requests with the same parts until they are at so many engines that have none of the others. */
  const spread = (
    driver: CrashingEngines,
    parts: readonly string[],
    engines: number,
    others: readonly string[] = [],
  ): string[] => {
    const findEngine = (id: string): string => driver.findAttempt(id)!.endpoint.id;
    const taken = new Set(others.map(findEngine));
    const requests: string[] = [];
    const countEngines = (): number =>
      new Set(requests.map(findEngine).filter((engine) => !taken.has(engine))).size;
    while (countEngines() < engines) requests.push(driver.chat(parts));
    return requests;
  };

  /** Has the engines of requests end at the same moment. */
  const crashAtOnce = (driver: CrashingEngines, requests: readonly string[]): void => {
    driver.advance(50);
    const ended = new Set(requests.map((requestId) => driver.findAttempt(requestId)!.endpoint.id));
    requests.forEach((requestId) => driver.fail(requestId, 'broken'));
    requests.forEach((requestId) => driver.dispatch({ kind: 'request.abandoned', requestId }));
    const changes = [...ended].map((id) => ({ id, endpoint: undefined }));
    driver.dispatch({ kind: 'endpoints.changed', changes });
    driver.advance(APART_MS);
  };

  it('is refused, gets one trial after a second, and is then refused for 15 s', () => {
    const driver = new CrashingEngines();
    crashAtOnce(driver, spread(driver, BAD, 5));
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    driver.advance(1_000);
    const trial = driver.chat(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    expect(driver.findAttempt(trial)).toBeDefined();
    driver.loseEngine(trial);
    driver.advance(14_000);
    driver.confirm();
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('is free as soon as the trial is answered, and other parts are not refused', () => {
    const driver = new CrashingEngines();
    crashAtOnce(driver, spread(driver, BAD, 5));
    expect(driver.findRefusalOf(['aa', 'cc'])).toBeUndefined();
    driver.advance(1_000);
    const trial = driver.begin(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    driver.finish(trial);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('counts once if a third of the engines that ended then did so under others, as in a cut', () => {
    const driver = new CrashingEngines();
    driver.answer(['aa', 'cc']);
    const bad = spread(driver, BAD, 6);
    const others = spread(driver, ['aa', 'cc'], 4, bad);
    crashAtOnce(driver, [...bad, ...others]);
    driver.chat(BAD);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('counts once if an answer has proved it sound before', () => {
    const driver = new CrashingEngines();
    driver.answer(BAD);
    driver.advance(1_000);
    crashAtOnce(driver, spread(driver, BAD, 6));
    driver.chat(BAD);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('counts each engine once, however many requests with it were lost there', () => {
    const driver = new CrashingEngines();
    const requests = spread(driver, BAD, 4);
    expect(requests.length).toBeGreaterThan(5);
    crashAtOnce(driver, requests);
    driver.chat(BAD);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });
});

describe('a request that comes again and under which three engines were lost', () => {
  it('is refused, and not the parts that it shares with others', () => {
    const driver = new CrashingEngines();
    const again = { fingerprint: 'same' };
    for (let crash = 0; crash < 3; crash += 1) driver.crashOnce(BAD, again);
    expect(driver.findRefusalOf(BAD, again)).toEqual(HARMFUL);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('does not hide a part that crashes engines under other requests, too', () => {
    const driver = new CrashingEngines();
    const again = { fingerprint: 'same' };
    for (let crash = 0; crash < 3; crash += 1) driver.crashOnce(BAD, again);
    driver.crashOnce(BAD);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });
});

describe('a part is not blamed', () => {
  it('for engines that ended while others with it were answered', () => {
    const driver = new CrashingEngines();
    for (let round = 0; round < 6; round += 1) {
      driver.crashTwice(['aa', 'bb']);
      driver.answer(['aa', 'bb']);
    }
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
  });

  it('for engines that ended after its answer had gone on for a while', () => {
    const driver = new CrashingEngines();
    for (let round = 0; round < 6; round += 1) {
      const requestId = driver.begin([`a${round}`, 'bb']);
      driver.goOn(requestId);
      driver.advance(APART_MS);
      driver.loseEngine(requestId);
      driver.advance(APART_MS);
      driver.loseEngine(requestId);
      driver.advance(APART_MS);
    }
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
  });

  it('for engines that ended after the first event, while another answer with it went on', () => {
    const driver = new CrashingEngines();
    const other = driver.begin(['aa', 'bb']);
    for (let round = 0; round < 6; round += 1) {
      driver.crashAfterEvent(['aa', 'bb']);
      driver.goOn(other);
    }
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
  });

  it('for calls that break after a part of their long response was forwarded', () => {
    const driver = new CrashingEngines();
    const replicas = [0, 1, 2, 3, 4, 5, 6, 7].map((index) =>
      createEndpoint(`r${index}`, { service: 'booking', slots: 6 }),
    );
    driver.dispatch({ kind: 'endpoints.read', endpoints: replicas });
    const callOnce = (): string => driver.request('/balance/', { fingerprint: 'same' });
    for (let round = 0; round < 6; round += 1) {
      const requestId = callOnce();
      const { attemptId } = driver.findAttempt(requestId)!;
      const head = createHead({ content: 'whole' });
      driver.advance(APART_MS);
      driver.dispatch({ kind: 'attempt.headReceived', attemptId, head });
      driver.advance(APART_MS);
      driver.loseEngine(requestId);
      driver.advance(APART_MS);
    }
    expect(driver.findRefusal(callOnce())).toBeUndefined();
    expect(driver.harmUsage.crashes).toBe(0);
  });

  it('for connections that all break at one moment, as in a cut', () => {
    const driver = new CrashingEngines();
    const requests = [1, 2, 3, 4, 5, 6].map(() => driver.chat(['aa', 'bb']));
    driver.advance(50);
    requests.forEach((requestId) => driver.loseEngine(requestId));
    driver.advance(APART_MS);
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
  });

  it('for responses that break while the engine goes on answering others', () => {
    const driver = new CrashingEngines();
    let answered = 0;
    const others = Array.from({ length: 20 }, () => driver.begin(['aa', 'bb']));
    for (let round = 0; round < 4; round += 1) {
      // The engine of one of them breaks the response to another request.
      const requestId = driver.chat(['aa', 'cc']);
      const endpointId = driver.findAttempt(requestId)!.endpoint.id;
      const other = others.find((id) => driver.findAttempt(id)!.endpoint.id === endpointId);
      driver.fail(requestId, 'broken');
      driver.dispatch({ kind: 'request.abandoned', requestId });
      if (other !== undefined) driver.sendEvent(other, String(round + 2));
      answered += Number(other !== undefined);
      driver.advance(APART_MS);
    }
    expect(answered).toBe(4);
    expect(driver.harmUsage.crashes).toBe(0);
    expect(driver.findRefusalOf(['aa', 'cc'])).toBeUndefined();
  });

  it('for rejections, stalls and connections that could not be opened', () => {
    const driver = new CrashingEngines();
    (['rejected', 'notSent', 'invalid', 'otherEndpoint'] as const).forEach((failure) => {
      for (let round = 0; round < 4; round += 1) {
        const requestId = driver.chat(['aa', 'bb']);
        driver.fail(requestId, failure);
        driver.dispatch({ kind: 'request.abandoned', requestId });
        driver.advance(APART_MS);
      }
    });
    expect(driver.findRefusalOf(['aa', 'bb'])).toBeUndefined();
  });
});

describe('a blocked part', () => {
  it('gets one trial after a second, and is free when that is answered', () => {
    const driver = new CrashingEngines();
    block(driver);
    driver.advance(1_000);
    const trial = driver.chat(BAD);
    expect(driver.findAttempt(trial)).toBeDefined();
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    driver.sendEvent(trial, '1');
    driver.finish(trial);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('is free when the answer to its trial goes on for a while', () => {
    const driver = new CrashingEngines();
    block(driver);
    driver.advance(1_000);
    const trial = driver.begin(BAD);
    driver.goOn(trial);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('gets the next trials after 15 s and 225 s if engines still end', () => {
    const driver = new CrashingEngines();
    block(driver);
    const trialsMs: number[] = [];
    const startedMs = driver.nowMs;
    while (driver.nowMs - startedMs < 600_000) {
      const requestId = driver.chat(BAD);
      if (driver.findAttempt(requestId) !== undefined) {
        trialsMs.push(driver.nowMs - startedMs);
        driver.loseEngine(requestId);
      }
      driver.advance(500);
      driver.confirm();
    }
    expect(trialsMs.map((atMs) => Math.round(atMs / 1_000))).toEqual([1, 16, 241]);
  });

  it('is free when an answer with it begins at a peer', () => {
    const driver = new CrashingEngines();
    block(driver);
    const begun = { begunAgeMs: 10 };
    driver.receiveHarm(['aa', 'bad'].map((part) => createHarm(`part/pool/llm/${part}`, [], begun)));
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('gets no trial while the one of a peer may still run', () => {
    const driver = new CrashingEngines();
    block(driver);
    driver.advance(900);
    driver.receiveHarm([createHarm('part/pool/llm/bad', [], { triedAgeMs: 1 })]);
    driver.advance(900);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
    driver.advance(1_000);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });
});

describe('entry VMs that know the same', () => {
  it('let only the one take the trial whose turn it is, of requests that come at one moment', () => {
    const driver = new CrashingEngines();
    driver.receiveHarm([createHarm('part/pool/llm/bad', createCrashes(3, 3_000))]);
    const first = driver.chat(BAD);
    const second = driver.chat(BAD);
    driver.receiveHarm([createHarm('part/pool/llm/bad', [], { triedAgeMs: 0 })]);
    driver.advance(100);
    const tried = [first, second].filter((id) => driver.findAttempt(id) !== undefined);
    const refused = [first, second].filter((id) => driver.findRefusal(id) !== undefined);
    expect(tried.length).toBeLessThanOrEqual(1);
    expect(tried.length + refused.length).toBe(2);
  });

  it('take turns for the trial of a part', () => {
    const parts = Array.from({ length: 20 }, (_, index) => `p${index}`);
    const driver = new CrashingEngines();
    const tell = (): void =>
      parts.forEach((part, index) => {
        const crashes = createCrashes(3, 1_000).map((crash) => ({
          ...crash,
          process: crash.process + 10 * index,
        }));
        driver.receiveHarm([createHarm(`part/pool/llm/${part}`, crashes)]);
      });
    tell();
    const requests = parts.map((part) => driver.chat([part]));
    const countTried = (): number =>
      requests.filter((requestId) => driver.findAttempt(requestId) !== undefined).length;
    expect(countTried()).toBeGreaterThan(0);
    expect(countTried()).toBeLessThan(parts.length);
    driver.receiveHarm([]);
    driver.advance(100);
    expect(countTried()).toBe(parts.length);
  });
});

describe('what peers tell of a part', () => {
  it('blocks it after three losses at different entry VMs', () => {
    const driver = new CrashingEngines();
    createCrashes(3).forEach((crash, index) =>
      driver.receiveHarm([createHarm('part/pool/llm/bad', [crash])], `vm-${index + 2}`),
    );
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });

  it('counts an engine once that two of them saw end', () => {
    const driver = new CrashingEngines();
    const [first, second] = createCrashes(2);
    driver.receiveHarm([createHarm('part/pool/llm/bad', [first!, second!])]);
    driver.receiveHarm([createHarm('part/pool/llm/bad', [first!, second!])], 'vm-3');
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('does not block it by losses from before an answer, also if it comes late', () => {
    const driver = new CrashingEngines();
    driver.crashTwice(BAD);
    driver.answer(BAD);
    driver.advance(1_000);
    driver.receiveHarm([createHarm('part/pool/llm/bad', createCrashes(3, 1_000))]);
    expect(driver.findRefusalOf(BAD)).toBeUndefined();
  });

  it('is told on, so that a process that starts learns it from any peer', () => {
    const driver = new CrashingEngines();
    driver.receiveHarm([createHarm('part/pool/llm/bad', createCrashes(3))]);
    driver.advance(10_000);
    const told = driver.list('peers.send').filter(({ snapshot }) => snapshot.harm !== undefined);
    const lastMs = told.at(-1)?.snapshot.harm?.[0]?.crashes[0]?.ageMs ?? 0;
    expect(lastMs).toBeGreaterThan(8_000);
    const started = new CrashingEngines();
    started.receiveHarm(told.at(-1)!.snapshot.harm!);
    // The first one is the trial, if not at once then in the turn of this entry VM.
    const trial = started.chat(BAD);
    started.advance(100);
    expect(started.findAttempt(trial)).toBeDefined();
    expect(started.findRefusalOf(BAD)).toEqual(HARMFUL);
  });
});

describe('a fleet in which most peers get snapshots only at intervals', () => {
  const SUSPECT = 'part/pool/llm/bad';
  const peers = LARGE_FLEET;

  /** Has the work of this entry VM change all the time, so that it sends many snapshots. */
  const run = (driver: CrashingEngines, durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
      driver.answer(['aa', 'bb']);
      driver.advance(20);
      driver.confirm();
    }
  };

  it('is told of a blocked suspect, each peer, and again after a while', () => {
    const driver = new CrashingEngines();
    driver.dispatch({ kind: 'peers.read', peers });
    driver.receiveHarm([createHarm(SUSPECT, createCrashes(3))]);
    run(driver, 4_000);
    const hosts = new Set(peers.map(({ address }) => address.host));
    const isTold = (host: string, told: ReadonlySet<string>): boolean => told.has(host);
    const first = driver.listHostsTold(SUSPECT);
    expect([...hosts].filter((host) => !isTold(host, first))).toEqual([]);
    const fromEffect = driver.effects.length;
    run(driver, 4_000);
    const again = driver.listHostsTold(SUSPECT, fromEffect);
    expect([...hosts].filter((host) => !isTold(host, again))).toEqual([]);
  });
});

describe('a process that has just started', () => {
  it('is told of blocked suspects with the next snapshot', () => {
    const driver = new CrashingEngines();
    driver.receiveHarm([createHarm('part/pool/llm/bad', createCrashes(3))]);
    driver.advance(5_000);
    const fromEffect = driver.effects.length;
    driver.receiveHarm([], 'vm-9');
    driver.advance(5);
    expect(driver.listHostsTold('part/pool/llm/bad', fromEffect)).toContain('vm-9');
  });
});

describe('the memory for suspects', () => {
  it('is bounded, and keeps the part under which engines go on ending', () => {
    const driver = new CrashingEngines();
    for (let round = 0; round < 400; round += 1) {
      const own = Array.from({ length: 3 }, (_, index) => `x${round}-${index}`);
      driver.receiveHarm(
        own.map((part, index) =>
          createHarm(`part/pool/llm/${part}`, [
            { process: 3 * round + index, request: round, tookMs: 100, ageMs: 0 },
          ]),
        ),
      );
      driver.advance(APART_MS);
    }
    expect(driver.harmUsage.suspects).toBeLessThanOrEqual(1_024);
    driver.receiveHarm([createHarm('part/pool/llm/bad', createCrashes(3))]);
    expect(driver.findRefusalOf(BAD)).toEqual(HARMFUL);
  });
});

describe('what is remembered of requests', () => {
  it('stays bounded with a million unlike ones', () => {
    const history = new BegunHistory();
    for (let request = 0; request < 1_000_000; request += 1) {
      history.record(`part/pool/llm/${request}`);
      if (request % 100 === 0) history.record('part/pool/llm/shared');
    }
    expect(history.size).toBeLessThanOrEqual(4_096);
    expect(history.count('part/pool/llm/shared')).toBe(10_000);
  });
});
