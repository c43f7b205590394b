import { startEngine, type RunningServer } from '@savorywind/stand-ins';
import type { Engine } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { callEngine } from '../../src/endpoints/engine-client.js';

const served = { model: 'assistant', version: '1', role: 'mixed', adapters: [] } as const;
const wanted = { ...served, adapters: [], version: '2' };

describe('orders over HTTP', () => {
  let server: RunningServer;
  let engine: Engine;

  beforeEach(async () => {
    server = await startEngine({
      port: 0,
      memoryTokens: 1_000,
      prefillTokensPerS: 1_000,
      decodeTokensPerS: 10,
      orders: { fencing: 'checked', placement: served, loadMs: 60_000 },
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

  const order = (fencing: number, sendBeforeMs = performance.now() + 60_000) =>
    callEngine(engine, { kind: 'order.give', fencing, placement: wanted, sendBeforeMs });

  it('are taken, read back, and refused with an old fencing number', async () => {
    const before = await callEngine(engine, { kind: 'placement.read' });
    expect(before.unwrap()).toMatchObject({ placement: served, loading: undefined, fencing: 0 });
    expect((await order(4)).ok).toBe(true);
    expect((await order(3)).val).toBe('refused');
    const after = await callEngine(engine, { kind: 'placement.read' });
    expect(after.unwrap()).toMatchObject({ placement: served, loading: wanted, fencing: 4 });
  });

  it('are not sent after a pause of the process', async () => {
    expect((await order(4, performance.now() - 1)).val).toBe('unsent');
    const after = await callEngine(engine, { kind: 'placement.read' });
    expect(after.unwrap()).toMatchObject({ loading: undefined, fencing: 0 });
  });
});
