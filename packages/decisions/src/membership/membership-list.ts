import {
  logEvents,
  type EndpointEntry,
  type MembershipEntry,
  type PlatformFailure,
  type PlatformReply,
  type Result,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import { JITTER_SHARE, LIST_BYTES_PER_S, LIST_ENTRY_BYTES, LIST_POLL_MS } from './consts.js';

const MS_PER_S = 1_000;

/** Takes what the platform's list says. */
export type ListListener = (
  entries: readonly MembershipEntry[],
  endpoints: readonly EndpointEntry[],
) => void;

/**
 * Reads the platform's membership list again and again. The pause is jittered and grows with the
 * list, so that its bytes stay bounded; the first to see a change tells its peers.
 */
export class MembershipList {
  private entryCount = 0;

  private stale = false;

  constructor(
    private readonly context: NodeContext,
    private readonly onRead: ListListener,
  ) {}

  start(): void {
    this.context.callPlatform({ kind: 'membership' }, (reply) => this.acceptReply(reply));
  }

  private acceptReply(reply: Result<PlatformReply, PlatformFailure>): void {
    if (reply.ok && reply.val.kind === 'membership') {
      const { entries, endpoints = [] } = reply.val;
      this.entryCount = entries.length + endpoints.length;
      this.setStale(false);
      this.onRead(entries, endpoints);
    } else {
      this.setStale(true);
    }
    this.context.schedule(this.drawPauseMs(), () => this.start());
  }

  private setStale(stale: boolean): void {
    if (this.stale === stale) return;
    this.stale = stale;
    this.context.log(stale ? logEvents.membershipStale : logEvents.membershipConfirmed);
  }

  private drawPauseMs(): number {
    const listMs = ((this.entryCount * LIST_ENTRY_BYTES) / LIST_BYTES_PER_S) * MS_PER_S;
    const spread = 1 + JITTER_SHARE * (2 * this.context.drawRandom() - 1);
    return Math.max(LIST_POLL_MS, listMs) * spread;
  }
}
