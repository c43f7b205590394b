import { describe, expect, it } from 'vitest';
import { isReplacement, type OpenLink } from '../../src/links/link-table.js';
import type { DialDirection } from '../../src/links/types.js';
import { createVm } from '../fixtures/links.js';

const createLink = (peer: string, direction: DialDirection, incarnation = 1): OpenLink => ({
  peer: createVm(peer, 1, incarnation),
  connection: { direction, close: () => {}, send: () => {} },
  openedAtMs: 0,
});

describe('isReplacement', () => {
  it('makes both ends keep the connection that the lower id dialled, whichever came first', () => {
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

  it('takes a second connection of the same dialler, since the first is lost at its end', () => {
    expect(isReplacement('a', createLink('b', 'incoming'), createLink('b', 'incoming'))).toBe(true);
  });

  it('takes a newer incarnation, and no older one', () => {
    const older = createLink('b', 'outgoing', 1);
    const newer = createLink('b', 'incoming', 2);
    expect(isReplacement('a', older, newer)).toBe(true);
    expect(isReplacement('a', newer, older)).toBe(false);
  });
});
