import type { LinkMessage } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import {
  DEMAND_LINK_IDLE_MS,
  LINK_WAIT_MS,
  MAX_WAITING_MESSAGES,
} from '../../src/membership/consts.js';
import { LinkKeeper } from '../../src/membership/link-keeper.js';
import { createTestContext } from '../fixtures/contexts.js';
import { createEntryVm } from '../fixtures/contracts.js';

const peer = createEntryVm({ id: 'entry-b1', failureDomain: 'b' });

const message: LinkMessage = { kind: 'request.probe', requestId: 'request-1' };

const createKeeper = () => {
  const test = createTestContext();
  return { ...test, keeper: new LinkKeeper(test.context, () => {}) };
};

describe('LinkKeeper', () => {
  it('opens a link for a message to a peer outside the plan, and closes it when it is idle', () => {
    const { keeper, advance, takeEffects } = createKeeper();
    keeper.send(peer, peer.id, message);
    expect(takeEffects()).toEqual([{ kind: 'link.open', vm: peer }]);
    keeper.acceptOpened(peer.id);
    expect(takeEffects()).toEqual([{ kind: 'link.send', peer: peer.id, message }]);
    advance(DEMAND_LINK_IDLE_MS);
    expect(takeEffects()).toEqual([{ kind: 'link.close', peer: peer.id }]);
  });

  it('holds a bounded number of messages for it', () => {
    const { keeper, takeEffects } = createKeeper();
    for (let count = 0; count < MAX_WAITING_MESSAGES * 2; count += 1) {
      keeper.send(peer, peer.id, message);
    }
    takeEffects();
    keeper.acceptOpened(peer.id);
    expect(takeEffects()).toHaveLength(MAX_WAITING_MESSAGES);
  });

  it('drops the messages and calls the peer unreachable where no link opens', () => {
    const { keeper, advance, takeEffects } = createKeeper();
    keeper.send(peer, peer.id, message);
    advance(LINK_WAIT_MS);
    expect(keeper.isUnreachable(peer.id)).toBe(true);
    keeper.acceptOpened(peer.id);
    expect(takeEffects().map(({ kind }) => kind)).toEqual(['link.open', 'link.close']);
    expect(keeper.isUnreachable(peer.id)).toBe(false);
  });

  it('closes links that the plan no longer holds', () => {
    const { keeper, takeEffects } = createKeeper();
    keeper.updatePlan([peer]);
    keeper.updatePlan([peer]);
    keeper.updatePlan([]);
    expect(takeEffects().map(({ kind }) => kind)).toEqual(['link.open', 'link.close']);
  });
});
