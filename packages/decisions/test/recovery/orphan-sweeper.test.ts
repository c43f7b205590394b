import { Ok } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { EngineStream, OwnerState } from '../../src/index.js';
import { SWEEP_INTERVAL_MS } from '../../src/recovery/consts.js';
import { OrphanSweeper } from '../../src/recovery/orphan-sweeper.js';
import { formatStreamId } from '../../src/recovery/stream-id.js';
import { createConfiguration, createEngine } from '../fixtures/configurations.js';
import { createTestContext } from '../fixtures/contexts.js';

const TWO_SWEEPS_MS = SWEEP_INTERVAL_MS * 2;
const coordinated = createEngine({ id: 'engine-coordinated' });
const notCoordinated = createEngine({ id: 'engine-other' });

const createStream = (vmId: string): EngineStream => ({
  streamId: formatStreamId({ vmId, incarnation: 1, timeoutMs: 60_000 }, vmId),
  memoryTokens: 1,
  attached: false,
  ageMs: 1,
});

/** Creates a sweeper with engines that list streams of two owners; records its engine calls. */
const createSweeper = () => {
  const { context, advance, takeEffects } = createTestContext();
  const lists: string[] = [];
  const cancels: string[] = [];
  const sweeper = new OrphanSweeper({
    context,
    membership: {
      findCoordinator: ({ id }) => (id === coordinated.id ? context.self.id : 'entry-other'),
      checkOwner: ({ vmId }): OwnerState => (vmId === 'entry-replaced' ? 'replaced' : 'live'),
    },
    readConfiguration: () => createConfiguration({ endpoints: [coordinated, notCoordinated] }),
  });
  const answer = (): void =>
    takeEffects().forEach((effect) => {
      if (effect.kind !== 'engine.call') return;
      if (effect.call.kind === 'stream.cancel') cancels.push(effect.call.streamId);
      if (effect.call.kind !== 'streams.list') return;
      lists.push(effect.engine.id);
      const streams = [createStream('entry-replaced'), createStream('entry-live')];
      context.handleEngineReply(effect.callId, Ok({ kind: 'streams', streams }));
    });
  const sweep = (): void => {
    advance(TWO_SWEEPS_MS);
    answer();
    answer();
  };
  sweeper.start();
  return { sweeper, sweep, lists, cancels };
};

describe('the sweep of orphaned streams', () => {
  it('reads the engines that it coordinates, and releases orphaned streams', () => {
    const { sweep, lists, cancels } = createSweeper();
    sweep();
    expect(new Set(lists)).toEqual(new Set([coordinated.id]));
    expect(new Set(cancels)).toEqual(new Set([createStream('entry-replaced').streamId]));
  });

  it('calls the listeners with each stream list', () => {
    const { sweeper, sweep } = createSweeper();
    const counts: number[] = [];
    sweeper.onStreamsRead((_engine, streams) => counts.push(streams.length));
    sweep();
    expect(counts[0]).toBe(2);
  });
});
