import { CONFIGURATION_HEAD_KEY, Ok, resultCodes, tables, type Row } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { EntryNode } from '../src/index.js';
import type { NodeEffect } from '../src/index.js';
import { createHead } from './fixtures/configurations.js';
import { createEntryVm, createModelContract } from './fixtures/contracts.js';

const findEffect = <Kind extends NodeEffect['kind']>(
  effects: readonly NodeEffect[],
  kind: Kind,
): Extract<NodeEffect, { kind: Kind }> => {
  const found = effects.find((effect) => effect.kind === kind);
  if (found === undefined) throw new Error(`no effect ${kind}`);
  return found as Extract<NodeEffect, { kind: Kind }>;
};

const createReadyNode = (): EntryNode => {
  const node = new EntryNode({ vm: createEntryVm(), seed: 1 });
  const { callId } = findEffect(node.handle({ kind: 'started' }, 0), 'platform.call');
  const row: Row = {
    table: tables.configuration,
    key: CONFIGURATION_HEAD_KEY,
    value: createHead(),
    revision: 1,
  };
  const reply = Ok({ kind: 'tables', outcomes: [{ kind: 'row', row }] } as const);
  node.handle({ kind: 'platform.replied', callId, reply }, 1);
  return node;
};

describe('EntryNode', () => {
  it('refuses requests until it has a configuration', () => {
    const node = new EntryNode({ vm: createEntryVm(), seed: 1 });
    const contract = createModelContract();
    const effects = node.handle({ kind: 'request.arrived', contract }, 0);
    const { refusal } = findEffect(effects, 'caller.refuse');
    expect(refusal).toMatchObject({ code: resultCodes.notReady, ran: 'no' });
  });

  it('serves a model request to its complete answer', () => {
    const node = createReadyNode();
    const contract = createModelContract();
    const start = findEffect(
      node.handle({ kind: 'request.arrived', contract }, 2),
      'attempt.start',
    );
    const { attemptId } = start;
    node.handle({ kind: 'attempt.headReceived', attemptId, head: undefined }, 3);
    node.handle({ kind: 'attempt.chunkReceived', attemptId, offset: 0, count: 1, data: 'a' }, 4);
    const end = { kind: 'attempt.ended', attemptId, total: 1, reason: 'stop' } as const;
    const effects = node.handle({ ...end, usage: undefined }, 5);
    expect(findEffect(effects, 'caller.finish').requestId).toBe(contract.requestId);
    expect(node.readStatus().requests).toEqual([]);
  });

  it('refuses the request when its deadline passes', () => {
    const node = createReadyNode();
    const contract = createModelContract();
    node.handle({ kind: 'request.arrived', contract }, 2);
    expect(node.nextWakeMs()).toBeLessThanOrEqual(2 + contract.timeoutMs);
    const effects = node.handle({ kind: 'woken' }, 2 + contract.timeoutMs);
    const { refusal } = findEffect(effects, 'caller.refuse');
    expect(refusal).toMatchObject({ code: resultCodes.timeout, ran: 'unknown' });
    expect(findEffect(effects, 'attempt.cancel')).toBeDefined();
  });
});
