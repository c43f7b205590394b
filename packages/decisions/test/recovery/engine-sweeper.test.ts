import { Ok } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { EngineStream, OwnerLife } from '../../src/index.js';
import { SWEEP_MS } from '../../src/recovery/consts.js';
import { EngineSweeper } from '../../src/recovery/engine-sweeper.js';
import { formatStreamId } from '../../src/recovery/stream-id.js';
import { createConfiguration, createEngine } from '../fixtures/configurations.js';
import { createTestContext } from '../fixtures/contexts.js';

const SWEEPS_MS = SWEEP_MS * 2;
const own = createEngine({ id: 'engine-own' });
const foreign = createEngine({ id: 'engine-foreign' });

const createStream = (vmId: string): EngineStream => ({
  streamId: formatStreamId({ vmId, incarnation: 1, timeoutMs: 60_000 }, vmId),
  memoryTokens: 1,
  attached: false,
  ageMs: 1,
});

/** A sweeper before engines that list streams of two owners; collects what it does. */
const createSweeper = () => {
  const { context, advance, takeEffects } = createTestContext();
  const lists: string[] = [];
  const cancels: string[] = [];
  const sweeper = new EngineSweeper({
    context,
    membership: {
      findHome: ({ id }) => (id === own.id ? context.self.id : 'entry-other'),
      judgeOwner: ({ vmId }): OwnerLife => (vmId === 'entry-gone' ? 'replaced' : 'live'),
    },
    readConfiguration: () => createConfiguration({ endpoints: [own, foreign] }),
  });
  const answer = (): void =>
    takeEffects().forEach((effect) => {
      if (effect.kind !== 'engine.call') return;
      if (effect.call.kind === 'stream.cancel') cancels.push(effect.call.streamId);
      if (effect.call.kind !== 'streams.list') return;
      lists.push(effect.engine.id);
      const streams = [createStream('entry-gone'), createStream('entry-live')];
      context.acceptEngineReply(effect.callId, Ok({ kind: 'streams', streams }));
    });
  const sweep = (): void => {
    advance(SWEEPS_MS);
    answer();
    answer();
  };
  sweeper.start();
  return { sweeper, sweep, lists, cancels };
};

describe('EngineSweeper', () => {
  it('reads the engines whose home it is, and releases what nobody holds', () => {
    const { sweep, lists, cancels } = createSweeper();
    sweep();
    expect(new Set(lists)).toEqual(new Set([own.id]));
    expect(new Set(cancels)).toEqual(new Set([createStream('entry-gone').streamId]));
  });

  it('hands each list on', () => {
    const { sweeper, sweep } = createSweeper();
    const counts: number[] = [];
    sweeper.onStreamsRead((_engine, streams) => counts.push(streams.length));
    sweep();
    expect(counts[0]).toBe(2);
  });
});
