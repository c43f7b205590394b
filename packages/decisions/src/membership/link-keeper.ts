import type { EntryVm, EntryVmId, LinkMessage, MonotonicMs } from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import {
  DEMAND_LINK_IDLE_MS,
  LINK_WAIT_MS,
  MAX_WAITING_MESSAGES,
  UNREACHABLE_MS,
} from './consts.js';

/** A link to a peer outside the plan, opened because there was something to send. */
interface DemandedLink {
  waiting: LinkMessage[];
  usedAtMs: MonotonicMs;
}

/**
 * Keeps open the links of the plan, and one to each other peer while there are messages for it. Of
 * the messages that wait for such a link the first ones are kept; what exceeds the bound, or waits
 * too long, is lost, as a link may do.
 */
export class LinkKeeper {
  private planned = new Map<EntryVmId, EntryVm>();

  private readonly demanded = new Map<EntryVmId, DemandedLink>();

  private readonly linked = new Set<EntryVmId>();

  /** Peers outside the plan to which no link could be opened lately. */
  private readonly unreachable = new Set<EntryVmId>();

  private unreachableChanges = 0;

  constructor(
    private readonly context: NodeContext,
    private readonly onUnreachable: () => void,
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

  /** Rises whenever other peers are unreachable. */
  get unreachableVersion(): number {
    return this.unreachableChanges;
  }

  listLinked(): EntryVmId[] {
    return [...this.linked];
  }

  /** Opens links that the plan newly wants, and closes those that nobody needs any more. */
  updatePlan(peers: readonly EntryVm[]): void {
    const before = this.planned;
    this.planned = new Map(peers.map((vm) => [vm.id, vm]));
    peers.forEach((vm) => {
      if (before.get(vm.id)?.incarnation === vm.incarnation) return;
      this.context.emit({ kind: 'link.open', vm });
      this.scheduleCheck(vm.id);
    });
    [...before.keys()]
      .filter((peer) => !this.planned.has(peer) && !this.demanded.has(peer))
      .forEach((peer) => this.context.emit({ kind: 'link.close', peer }));
  }

  acceptOpened(peer: EntryVmId): void {
    this.linked.add(peer);
    if (this.unreachable.delete(peer)) this.unreachableChanges += 1;
    const waiting = this.demanded.get(peer)?.waiting.splice(0) ?? [];
    waiting.forEach((message) => this.context.emit({ kind: 'link.send', peer, message }));
  }

  acceptClosed(peer: EntryVmId): void {
    this.linked.delete(peer);
    if (this.planned.has(peer)) this.scheduleCheck(peer);
  }

  send(vm: EntryVm | undefined, peer: EntryVmId, message: LinkMessage): void {
    const demanded = this.demanded.get(peer);
    if (demanded !== undefined) demanded.usedAtMs = this.context.nowMs;
    if (this.linked.has(peer)) {
      this.context.emit({ kind: 'link.send', peer, message });
      return;
    }
    if (vm === undefined || this.planned.has(peer)) return;
    const link = demanded ?? this.openDemanded(vm);
    if (link.waiting.length < MAX_WAITING_MESSAGES) link.waiting.push(message);
  }

  private openDemanded(vm: EntryVm): DemandedLink {
    const link: DemandedLink = {
      waiting: [],
      usedAtMs: this.context.nowMs,
    };
    this.demanded.set(vm.id, link);
    this.context.emit({ kind: 'link.open', vm });
    this.scheduleCheck(vm.id);
    this.context.schedule(DEMAND_LINK_IDLE_MS, () => this.checkUsed(vm.id));
    return link;
  }

  private scheduleCheck(peer: EntryVmId): void {
    this.context.schedule(LINK_WAIT_MS, () => this.checkOpened(peer));
  }

  private checkOpened(peer: EntryVmId): void {
    const isWanted = this.planned.has(peer) || this.demanded.has(peer);
    if (this.linked.has(peer) || !isWanted) return;
    if (this.demanded.has(peer)) this.dropDemanded(peer);
    if (!this.unreachable.has(peer)) this.keepUnreachable(peer);
  }

  private keepUnreachable(peer: EntryVmId): void {
    this.unreachable.add(peer);
    this.unreachableChanges += 1;
    this.onUnreachable();
    this.context.schedule(UNREACHABLE_MS, () => {
      if (!this.unreachable.delete(peer)) return;
      this.unreachableChanges += 1;
      this.onUnreachable();
    });
  }

  private checkUsed(peer: EntryVmId): void {
    const link = this.demanded.get(peer);
    if (link === undefined) return;
    if (this.context.nowMs - link.usedAtMs >= DEMAND_LINK_IDLE_MS) this.dropDemanded(peer);
    else this.context.schedule(DEMAND_LINK_IDLE_MS, () => this.checkUsed(peer));
  }

  private dropDemanded(peer: EntryVmId): void {
    this.demanded.delete(peer);
    if (!this.planned.has(peer)) this.context.emit({ kind: 'link.close', peer });
  }
}
