import type { EntryVm, EntryVmId, LinkMessage, MonotonicMs } from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import {
  ON_DEMAND_LINK_IDLE_MS,
  LINK_OPEN_TIMEOUT_MS,
  MAX_QUEUED_MESSAGES,
  UNREACHABLE_EXPIRY_MS,
} from './consts.js';

/** Link to a peer outside the plan, opened because there is a message to send. */
interface OnDemandLink {
  queued: LinkMessage[];
  lastUsedAtMs: MonotonicMs;
}

/**
 * Keeps the planned links open and opens a link to another peer on demand while there are messages
 * for it. Messages are queued until an on-demand link is open. Messages beyond `MAX_QUEUED_MESSAGES`
 * are dropped, and so are all queued messages if the link does not open in time: delivery over links
 * is not guaranteed.
 */
export class LinkManager {
  private planned = new Map<EntryVmId, EntryVm>();

  private readonly onDemand = new Map<EntryVmId, OnDemandLink>();

  private readonly linked = new Set<EntryVmId>();

  /** Peers to which no link could be opened within the last `UNREACHABLE_EXPIRY_MS`. */
  private readonly unreachable = new Set<EntryVmId>();

  private unreachableChangeCount = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly onUnreachableChanged: () => void,
  ) {}

  isLinked(peer: EntryVmId): boolean {
    return this.linked.has(peer);
  }

  isPlanned(peer: EntryVmId): boolean {
    return this.planned.has(peer);
  }

  isUnreachable(peer: EntryVmId): boolean {
    return this.unreachable.has(peer);
  }

  /** Incremented whenever the set of unreachable peers changes. */
  get unreachableVersion(): number {
    return this.unreachableChangeCount;
  }

  listLinked(): EntryVmId[] {
    return [...this.linked];
  }

  /** Opens links to newly planned peers, and closes links that are no longer needed. */
  updatePlan(peers: readonly EntryVm[]): void {
    const before = this.planned;
    this.planned = new Map(peers.map((vm) => [vm.id, vm]));
    peers.forEach((vm) => {
      if (before.get(vm.id)?.incarnation === vm.incarnation) return;
      this.context.emit({ kind: 'link.open', vm });
      this.scheduleOpenCheck(vm.id);
    });
    [...before.keys()]
      .filter((peer) => !this.planned.has(peer) && !this.onDemand.has(peer))
      .forEach((peer) => this.context.emit({ kind: 'link.close', peer }));
  }

  handleOpened(peer: EntryVmId): void {
    this.linked.add(peer);
    if (this.unreachable.delete(peer)) this.unreachableChangeCount += 1;
    const queued = this.onDemand.get(peer)?.queued.splice(0) ?? [];
    queued.forEach((message) => this.context.emit({ kind: 'link.send', peer, message }));
  }

  handleClosed(peer: EntryVmId): void {
    this.linked.delete(peer);
    if (this.planned.has(peer)) this.scheduleOpenCheck(peer);
  }

  /**
   * Sends a message over the link to a peer, opening an on-demand link if none is planned or open. A
   * message for a planned link that is not open is dropped.
   *
   * @param vm undefined if the peer is unknown; the message is then sent only over an open link
   */
  send(vm: EntryVm | undefined, peer: EntryVmId, message: LinkMessage): void {
    const existing = this.onDemand.get(peer);
    if (existing !== undefined) existing.lastUsedAtMs = this.context.nowMs;
    if (this.linked.has(peer)) {
      this.context.emit({ kind: 'link.send', peer, message });
      return;
    }
    if (vm === undefined || this.planned.has(peer)) return;
    const link = existing ?? this.openOnDemand(vm);
    if (link.queued.length < MAX_QUEUED_MESSAGES) link.queued.push(message);
  }

  private openOnDemand(vm: EntryVm): OnDemandLink {
    const link: OnDemandLink = {
      queued: [],
      lastUsedAtMs: this.context.nowMs,
    };
    this.onDemand.set(vm.id, link);
    this.context.emit({ kind: 'link.open', vm });
    this.scheduleOpenCheck(vm.id);
    this.context.schedule(ON_DEMAND_LINK_IDLE_MS, () => this.checkIdle(vm.id));
    return link;
  }

  private scheduleOpenCheck(peer: EntryVmId): void {
    this.context.schedule(LINK_OPEN_TIMEOUT_MS, () => this.checkOpened(peer));
  }

  private checkOpened(peer: EntryVmId): void {
    const isNeeded = this.planned.has(peer) || this.onDemand.has(peer);
    if (this.linked.has(peer) || !isNeeded) return;
    if (this.onDemand.has(peer)) this.closeOnDemand(peer);
    if (!this.unreachable.has(peer)) this.addUnreachable(peer);
  }

  private addUnreachable(peer: EntryVmId): void {
    this.unreachable.add(peer);
    this.unreachableChangeCount += 1;
    this.onUnreachableChanged();
    this.context.schedule(UNREACHABLE_EXPIRY_MS, () => {
      if (!this.unreachable.delete(peer)) return;
      this.unreachableChangeCount += 1;
      this.onUnreachableChanged();
    });
  }

  private checkIdle(peer: EntryVmId): void {
    const link = this.onDemand.get(peer);
    if (link === undefined) return;
    if (this.context.nowMs - link.lastUsedAtMs >= ON_DEMAND_LINK_IDLE_MS) this.closeOnDemand(peer);
    else this.context.schedule(ON_DEMAND_LINK_IDLE_MS, () => this.checkIdle(peer));
  }

  private closeOnDemand(peer: EntryVmId): void {
    this.onDemand.delete(peer);
    if (!this.planned.has(peer)) this.context.emit({ kind: 'link.close', peer });
  }
}
