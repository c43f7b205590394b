import { describe, expect, it } from 'vitest';
import { isReplacement, type OpenLink } from '../../src/links/link-replacement.js';
import type { LinkDirection } from '../../src/links/types.js';
import { createVm } from '../fixtures/links.js';

const createLink = (peer: string, direction: LinkDirection, incarnation = 1): OpenLink => ({
  peer: createVm(peer, 1, incarnation),
  connection: { direction, close: () => {}, send: () => {} },
  openedAtMs: 0,
});

describe('isReplacement', () => {
  it('keeps the connection that the lower id opened at both ends, in either order', () => {
    const atLower = {
      outgoing: createLink('b', 'outgoing'),
      incoming: createLink('b', 'incoming'),
    };
    const atHigher = {
      outgoing: createLink('a', 'outgoing'),
      incoming: createLink('a', 'incoming'),
    };
    expect(isReplacement('a', atLower.outgoing, atLower.incoming)).toBe(false);
    expect(isReplacement('a', atLower.incoming, atLower.outgoing)).toBe(true);
    expect(isReplacement('b', atHigher.outgoing, atHigher.incoming)).toBe(true);
    expect(isReplacement('b', atHigher.incoming, atHigher.outgoing)).toBe(false);
  });

  it('accepts a second connection of the same initiator, which has lost the first one', () => {
    expect(isReplacement('a', createLink('b', 'incoming'), createLink('b', 'incoming'))).toBe(true);
  });

  it('accepts a newer incarnation and rejects an older one', () => {
    const older = createLink('b', 'outgoing', 1);
    const newer = createLink('b', 'incoming', 2);
    expect(isReplacement('a', older, newer)).toBe(true);
    expect(isReplacement('a', newer, older)).toBe(false);
  });
});
