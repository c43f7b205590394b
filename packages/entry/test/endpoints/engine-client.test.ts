import { startEngine, type RunningServer } from '@savorywind/stand-ins';
import type { Engine } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { callEngine } from '../../src/endpoints/engine-client.js';

const currentPlacement = { model: 'assistant', version: '1', role: 'mixed', adapters: [] } as const;
const targetPlacement = { ...currentPlacement, adapters: [], version: '2' };

describe('placement orders sent to an engine over HTTP', () => {
  let server: RunningServer;
  let engine: Engine;

  beforeEach(async () => {
    server = await startEngine({
      port: 0,
      memoryTokens: 1_000,
      prefillTokensPerS: 1_000,
      decodeTokensPerS: 10,
      orders: { fencing: 'checked', placement: currentPlacement, loadMs: 60_000 },
    });
    engine = {
      kind: 'engine',
      id: 'engine-a1',
      failureDomain: 'a',
      address: { host: '127.0.0.1', port: server.port },
      model: 'assistant',
      memoryTokens: 1_000,
      batchLimit: 1,
      prefillTokensPerS: 1_000,
      decodeTokensPerS: 10,
      fencing: 'checked',
    };
  });

  afterEach(() => server.close());

  const sendOrder = (fencing: number, sendBeforeMs = performance.now() + 60_000) =>
    callEngine(engine, { kind: 'order.give', fencing, placement: targetPlacement, sendBeforeMs });

  it('are accepted, read back, and refused with an old fencing number', async () => {
    const before = await callEngine(engine, { kind: 'placement.read' });
    expect(before.unwrap()).toMatchObject({
      placement: currentPlacement,
      loading: undefined,
      fencing: 0,
    });
    expect((await sendOrder(4)).ok).toBe(true);
    expect((await sendOrder(3)).val).toBe('refused');
    const after = await callEngine(engine, { kind: 'placement.read' });
    expect(after.unwrap()).toMatchObject({
      placement: currentPlacement,
      loading: targetPlacement,
      fencing: 4,
    });
  });

  it('are not sent if the process was paused past the lease', async () => {
    expect((await sendOrder(4, performance.now() - 1)).val).toBe('unsent');
    const after = await callEngine(engine, { kind: 'placement.read' });
    expect(after.unwrap()).toMatchObject({ loading: undefined, fencing: 0 });
  });
});
