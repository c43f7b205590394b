import {
  logEvents,
  type EndpointEntry,
  type MembershipEntry,
  type PlatformFailure,
  type PlatformReply,
  type Result,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import {
  JITTER_FRACTION,
  LIST_BYTES_PER_S,
  LIST_ENTRY_BYTES,
  MIN_LIST_POLL_INTERVAL_MS,
} from './consts.js';

const MS_PER_S = 1_000;

/** Called with the entries of each list that was read. */
export type MembershipListListener = (
  entries: readonly MembershipEntry[],
  endpoints: readonly EndpointEntry[],
) => void;

/**
 * Polls the platform's membership list. The interval is jittered and grows with the list, so that the
 * bandwidth stays bounded. An entry VM that sees a change forwards it to its peers, so the fleet
 * learns of it sooner than by each entry VM's own poll.
 */
export class MembershipPoller {
  private entryCount = 0;

  private isStale = false;

  constructor(
    private readonly context: NodeContext,
    private readonly onRead: MembershipListListener,
  ) {}

  start(): void {
    this.context.callPlatform({ kind: 'membership' }, (reply) => this.handleReply(reply));
  }

  private handleReply(reply: Result<PlatformReply, PlatformFailure>): void {
    if (reply.ok && reply.val.kind === 'membership') {
      const { entries, endpoints = [] } = reply.val;
      this.entryCount = entries.length + endpoints.length;
      this.setStale(false);
      this.onRead(entries, endpoints);
    } else {
      this.setStale(true);
    }
    this.context.schedule(this.drawIntervalMs(), () => this.start());
  }

  private setStale(stale: boolean): void {
    if (this.isStale === stale) return;
    this.isStale = stale;
    this.context.log(stale ? logEvents.membershipStale : logEvents.membershipConfirmed);
  }

  private drawIntervalMs(): number {
    const listMs = ((this.entryCount * LIST_ENTRY_BYTES) / LIST_BYTES_PER_S) * MS_PER_S;
    const jitter = 1 + JITTER_FRACTION * (2 * this.context.drawRandom() - 1);
    return Math.max(MIN_LIST_POLL_INTERVAL_MS, listMs) * jitter;
  }
}
