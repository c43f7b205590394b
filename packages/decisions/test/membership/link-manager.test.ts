import type { LinkMessage } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import {
  ON_DEMAND_LINK_IDLE_MS,
  LINK_OPEN_TIMEOUT_MS,
  MAX_QUEUED_MESSAGES,
} from '../../src/membership/consts.js';
import { LinkManager } from '../../src/membership/link-manager.js';
import { createTestContext } from '../fixtures/contexts.js';
import { createEntryVm } from '../fixtures/contracts.js';

const peer = createEntryVm({ id: 'entry-b1', failureDomain: 'b' });

const message: LinkMessage = { kind: 'request.probe', requestId: 'request-1' };

const createManager = () => {
  const test = createTestContext();
  return { ...test, manager: new LinkManager(test.context, () => {}) };
};

describe('LinkManager', () => {
  it('opens a link on demand for a message to an unplanned peer and closes it when idle', () => {
    const { manager, advance, takeEffects } = createManager();
    manager.send(peer, peer.id, message);
    expect(takeEffects()).toEqual([{ kind: 'link.open', vm: peer }]);
    manager.handleOpened(peer.id);
    expect(takeEffects()).toEqual([{ kind: 'link.send', peer: peer.id, message }]);
    advance(ON_DEMAND_LINK_IDLE_MS);
    expect(takeEffects()).toEqual([{ kind: 'link.close', peer: peer.id }]);
  });

  it('queues a bounded number of messages until the link is open', () => {
    const { manager, takeEffects } = createManager();
    for (let count = 0; count < MAX_QUEUED_MESSAGES * 2; count += 1) {
      manager.send(peer, peer.id, message);
    }
    takeEffects();
    manager.handleOpened(peer.id);
    expect(takeEffects()).toHaveLength(MAX_QUEUED_MESSAGES);
  });

  it('drops the queued messages and reports the peer as unreachable if no link opens', () => {
    const { manager, advance, takeEffects } = createManager();
    manager.send(peer, peer.id, message);
    advance(LINK_OPEN_TIMEOUT_MS);
    expect(manager.isUnreachable(peer.id)).toBe(true);
    manager.handleOpened(peer.id);
    expect(takeEffects().map(({ kind }) => kind)).toEqual(['link.open', 'link.close']);
    expect(manager.isUnreachable(peer.id)).toBe(false);
  });

  it('closes links that are no longer planned', () => {
    const { manager, takeEffects } = createManager();
    manager.updatePlan([peer]);
    manager.updatePlan([peer]);
    manager.updatePlan([]);
    expect(takeEffects().map(({ kind }) => kind)).toEqual(['link.open', 'link.close']);
  });
});
