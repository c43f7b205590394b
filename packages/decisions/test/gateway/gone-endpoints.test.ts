import { describe, expect, it } from 'vitest';
import {
  GONE_MEMORY_MS,
  GoneEndpoints,
  MAX_GONE_ENDPOINTS,
} from '../../src/gateway/gone-endpoints.js';
import { createEndpoint } from '../fixtures/gateway-driver.js';

const create = (): { readonly gone: GoneEndpoints; readonly dropped: string[] } => {
  const dropped: string[] = [];
  return { gone: new GoneEndpoints((id) => dropped.push(id)), dropped };
};

describe('the endpoints whose registration has gone', () => {
  it('are remembered until they come back', () => {
    const { gone, dropped } = create();
    gone.add(createEndpoint('e1', { startedAtMs: 5 }), 0);
    expect(gone.find('e1')?.startedAtMs).toBe(5);
    expect(gone.take('e1', GONE_MEMORY_MS)?.startedAtMs).toBe(5);
    expect(gone.find('e1')).toBeUndefined();
    expect(dropped).toEqual([]);
  });

  it('are forgotten after a while', () => {
    const { gone, dropped } = create();
    gone.add(createEndpoint('e1'), 0);
    gone.add(createEndpoint('e2'), 1);
    expect(gone.take('e1', GONE_MEMORY_MS + 1)).toBeUndefined();
    expect(dropped).toEqual(['e1']);
    expect(gone.list().map(({ id }) => id)).toEqual(['e2']);
  });

  it('are remembered in a bounded number, the last ones', () => {
    const { gone, dropped } = create();
    Array.from({ length: MAX_GONE_ENDPOINTS + 2 }, (_, index) =>
      gone.add(createEndpoint(`e${index}`), index),
    );
    expect(gone.list()).toHaveLength(MAX_GONE_ENDPOINTS);
    expect(dropped).toEqual(['e0', 'e1']);
  });

  it('are not remembered without the start of their process', () => {
    const { gone, dropped } = create();
    gone.add(createEndpoint('e1', { startedAtMs: undefined }), 0);
    expect(gone.find('e1')).toBeUndefined();
    expect(dropped).toEqual(['e1']);
  });
});
