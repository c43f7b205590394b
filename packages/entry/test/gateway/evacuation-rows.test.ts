import type { GatewayEvent } from '@savorywind/decisions';
import { beforeEach, describe, expect, it } from 'vitest';
import type { TableRow } from '../../src/gateway/store/types.js';
import { StoreUpdates } from '../../src/gateway/store/store-updates.js';
import { Containment } from '../../src/runtime/containment.js';
import { createAdapter, createGatewayConfiguration, createRow } from '../fixtures/test-gateway.js';

const EVACUATED = createRow('evacuated-a', {});
const OTHER = createRow('something-else', {});

let events: GatewayEvent[];
let undecodable: string[];
let updates: StoreUpdates;

beforeEach(() => {
  events = [];
  undecodable = [];
  const { rows } = createAdapter(createGatewayConfiguration(), []);
  updates = new StoreUpdates({
    rows,
    containment: new Containment(() => {}),
    dispatch: (event) => events.push(event),
    readClockMs: () => performance.now(),
    onUndecodable: (key) => undecodable.push(key),
    onPartRefused: () => {},
  });
});

const read = (kind: 'snapshot' | 'changes', ...rows: readonly TableRow[]): void =>
  updates.handleConfiguration({ kind, rows, requestedAtMs: performance.now() });

describe('the rows of evacuations', () => {
  it('are told before the configuration that was read with them', () => {
    read('snapshot', EVACUATED, OTHER);
    expect(events.map(({ kind }) => kind)).toEqual(['evacuations.read', 'configuration.confirmed']);
    expect(events[0]).toMatchObject({
      source: 'snapshot',
      changes: [{ domain: 'a', isEvacuated: true }],
    });
    expect(undecodable).toEqual([]);
  });

  it('end their evacuation when they are removed', () => {
    read('changes', { ...EVACUATED, value: Buffer.alloc(0), removed: true });
    expect(events[0]).toMatchObject({
      source: 'change',
      changes: [{ domain: 'a', isEvacuated: false }],
    });
  });

  it('are told as unchanged by a read that brings nothing, and not at all by one that fails', () => {
    read('changes');
    expect(events[0]).toMatchObject({ kind: 'evacuations.read', source: 'change', changes: [] });
    updates.handleConfiguration({ kind: 'failed', detail: 'test', requestedAtMs: 0 });
    expect(events.map(({ kind }) => kind).slice(2)).toEqual(['store.failed']);
  });
});
