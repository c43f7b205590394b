import { describe, expect, it } from 'vitest';
import type { EndpointId } from '@savorywind/model';
import { NodeContext } from '../../../src/index.js';
import { FleetIndex } from '../../../src/routing/fleet-index.js';
import { PrefixTracker } from '../../../src/routing/prefixes/prefix-tracker.js';
import type { Membership } from '../../../src/membership/types.js';
import { createConfiguration, createEngine } from '../../fixtures/configurations.js';
import { createEntryVm, createModelContract } from '../../fixtures/contracts.js';

const MAX_AGE_MS = 60_000;

const FREE_TOKENS = 100_000;

const ENGINE = createEngine({ id: 'engine-1' });

const OTHER = createEngine({ id: 'engine-2' });

const createContract = (session: string, blocks = 4) =>
  createModelContract({
    promptTokens: blocks * 1_024 + 10,
    prefixDigests: Array.from({ length: blocks }, (_, index) => `${session}.${index}`),
  });

const createTracker = () => {
  const context = new NodeContext(createEntryVm(), 1);
  const unusable = new Set<EndpointId>();
  const model = { id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 256 };
  const configuration = createConfiguration({
    endpoints: [ENGINE, OTHER],
    models: [{ ...model, prefixRetention: { maxAgeMs: MAX_AGE_MS } }],
  });
  const readConfiguration = () => configuration;
  const isUsable = (id: EndpointId) => !unusable.has(id);
  const membership = { isUsable } as Membership;
  const index = new FleetIndex(readConfiguration);
  const tracker = new PrefixTracker({ context, membership, readConfiguration, index });
  const readLogs = () =>
    context.takeEffects().flatMap((effect) => (effect.kind === 'log' ? [effect.event.number] : []));
  return { context, unusable, tracker, readLogs };
};

const CONTRACT = createContract('a');

const countKept = (tracker: PrefixTracker, contract = CONTRACT): number =>
  tracker.findKept(ENGINE, contract, undefined).keptTokens;

describe('PrefixTracker', () => {
  it('expects an engine to retain what it has read, and nothing elsewhere', () => {
    const { tracker } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    expect(countKept(tracker, createContract('a', 6))).toBe(4 * 1_024);
    expect(tracker.findKept(OTHER, CONTRACT, undefined).keptTokens).toBe(0);
    expect(tracker.listHolders(CONTRACT)).toEqual([ENGINE]);
  });

  it('expects an engine to retain no more than its part of the free memory', () => {
    const { tracker } = createTracker();
    tracker.recordRead(ENGINE, createContract('b'), 6 * 1_024);
    tracker.recordRead(ENGINE, CONTRACT, 6 * 1_024);
    expect(countKept(tracker)).toBe(4 * 1_024);
    expect(countKept(tracker, createContract('b'))).toBe(2 * 1_024);
    tracker.recordRead(ENGINE, createContract('c'), -1);
    expect(tracker.blockCount).toBe(0);
  });

  it('forgets an engine that is lost, and says so in the log', () => {
    const { tracker, readLogs } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    tracker.dropEngine(ENGINE.id);
    expect([countKept(tracker), tracker.blockCount]).toEqual([0, 0]);
    expect(readLogs()).toEqual([211]);
  });

  it('forgets an engine that can not be used, also if it can be used again later', () => {
    const { tracker, unusable } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    unusable.add(ENGINE.id);
    expect(tracker.listHolders(CONTRACT)).toEqual([]);
    unusable.clear();
    expect([countKept(tracker), tracker.listHolders(CONTRACT)]).toEqual([0, []]);
  });

  it('forgets on its rounds what is too old, and engines that can not be used', () => {
    const { tracker, context, unusable } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    context.nowMs += MAX_AGE_MS + 1;
    expect(countKept(tracker)).toBe(0);
    tracker.recordRead(ENGINE, createContract('b'), FREE_TOKENS);
    tracker.recordRead(OTHER, createContract('b'), FREE_TOKENS);
    tracker.sweep();
    expect(tracker.blockCount).toBe(8);
    unusable.add(OTHER.id);
    tracker.sweep();
    expect(tracker.blockCount).toBe(4);
  });

  it('corrects by the word of the engine what it dropped, and all that is older', () => {
    const { tracker, context, readLogs } = createTracker();
    const older = createContract('older');
    const newer = createContract('newer');
    tracker.recordRead(ENGINE, older, FREE_TOKENS);
    context.nowMs += 1_000;
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    context.nowMs += 1_000;
    tracker.recordRead(ENGINE, newer, FREE_TOKENS);
    const expected = tracker.findKept(ENGINE, CONTRACT, undefined);
    const { promptTokens } = CONTRACT;
    const usage = { promptTokens, outputTokens: 4, cachedTokens: 0 };
    tracker.recordUsage(ENGINE, expected, promptTokens, usage);
    expect([older, CONTRACT, newer].map((contract) => countKept(tracker, contract))).toEqual([
      0,
      0,
      4 * 1_024,
    ]);
    expect(tracker.findKept(ENGINE, newer, undefined).probability).toBeLessThan(1);
    expect(readLogs()).toEqual([210]);
  });

  it('reads the word of the engine in the tokens of the engine', () => {
    const { tracker, readLogs } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    const expected = tracker.findKept(ENGINE, CONTRACT, undefined);
    const usage = { promptTokens: 1_026, outputTokens: 4, cachedTokens: 1_024 };
    tracker.recordUsage(ENGINE, expected, CONTRACT.promptTokens, usage);
    expect(countKept(tracker)).toBe(4 * 1_024);
    expect(readLogs()).toEqual([]);
  });

  it('ignores responses that do not say what was retained, or say what can not be', () => {
    const { tracker } = createTracker();
    tracker.recordRead(ENGINE, CONTRACT, FREE_TOKENS);
    const expected = tracker.findKept(ENGINE, CONTRACT, undefined);
    const { promptTokens } = CONTRACT;
    [undefined, NaN, -1].forEach((cachedTokens) => {
      const usage = { promptTokens, outputTokens: 4 };
      const reported = cachedTokens === undefined ? usage : { ...usage, cachedTokens };
      tracker.recordUsage(ENGINE, expected, promptTokens, reported);
    });
    expect(tracker.findKept(ENGINE, CONTRACT, undefined)).toEqual(expected);
  });

  it('assumes a part of an unknown prefix at its owner, less and less while responses deny it', () => {
    const { tracker } = createTracker();
    const first = tracker.findKept(ENGINE, CONTRACT, ENGINE);
    expect(first).toMatchObject({ source: 'assumed', probability: 0.25 });
    const { promptTokens } = CONTRACT;
    const usage = { promptTokens, outputTokens: 4, cachedTokens: 0 };
    for (let count = 0; count < 100; count += 1) {
      const expected = tracker.findKept(ENGINE, CONTRACT, ENGINE);
      tracker.recordUsage(ENGINE, expected, promptTokens, usage);
    }
    expect(tracker.findKept(ENGINE, CONTRACT, ENGINE).probability).toBeLessThan(0.01);
  });
});
