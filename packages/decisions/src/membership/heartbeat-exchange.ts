import type { EntryVm, EntryVmId, LinkMessage, MonotonicMs } from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import {
  FULL_MESH_LIMIT,
  HEARTBEATS_PER_SLOW_ROUND,
  HEARTBEAT_MS,
  PAUSE_TOLERANCE_MS,
  SLOW_HEARTBEAT_MS,
  WATCHERS,
} from './consts.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';
import { rankOwners } from './rendezvous.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly readVersion: () => number;
  readonly listLinked: () => readonly EntryVmId[];
  readonly findVm: (peer: EntryVmId) => EntryVm | undefined;
  readonly send: (peer: EntryVmId, message: LinkMessage) => void;
  /** Told when a peer is suspected, or no longer is. */
  readonly onJudged: () => void;
}

/**
 * Sends heartbeats and judges those of the peers. A few peers, its watchers, get them at a fast
 * pace, all others at a slow one, so that the bytes do not grow with the fleet. A watcher that
 * misses them tells the others, who then probe for themselves: nobody is suspected on hearsay.
 */
export class HeartbeatExchange {
  private readonly monitor = new HeartbeatMonitor();

  private watchers: readonly EntryVmId[] = [];

  private round = 0;

  private tickDueMs: MonotonicMs = 0;

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.scheduleTick();
  }

  addPeer(peer: EntryVmId): void {
    this.monitor.add(peer, this.dependencies.context.nowMs);
  }

  removePeer(peer: EntryVmId): void {
    this.monitor.remove(peer);
  }

  isSuspected(peer: EntryVmId): boolean {
    return this.monitor.isSuspected(peer);
  }

  acceptSign(peer: EntryVmId, intervalMs?: number): void {
    const { context, onJudged } = this.dependencies;
    if (this.monitor.acceptSign(peer, context.nowMs, intervalMs)) onJudged();
  }

  sendHeartbeat(peer: EntryVmId): void {
    const { context, readVersion, send } = this.dependencies;
    const isWatcher = this.watchers.includes(peer);
    send(peer, {
      kind: 'membership.heartbeat',
      incarnation: context.self.incarnation,
      configurationVersion: readVersion(),
      intervalMs: isWatcher ? HEARTBEAT_MS : SLOW_HEARTBEAT_MS,
    });
  }

  /** Another entry VM suspects the peer: asks the peer itself. */
  probe(peer: EntryVmId): void {
    const { context, send } = this.dependencies;
    if (this.monitor.acceptProbeSent(peer, context.nowMs)) send(peer, { kind: 'membership.probe' });
  }

  /**
   * Chooses the watchers again: in a small fleet among all peers, in a large one in the own failure
   * domain. Those that are none any more are told of the slower pace.
   */
  updateWatchers(): void {
    const { context, listLinked, findVm } = this.dependencies;
    const { self } = context;
    const linked = listLinked();
    const near = linked.filter((peer) => findVm(peer)?.failureDomain === self.failureDomain);
    const candidates = linked.length < FULL_MESH_LIMIT ? linked : near;
    const before = this.watchers;
    this.watchers = rankOwners(self.id, candidates).slice(0, WATCHERS);
    before
      .filter((peer) => linked.includes(peer) && !this.watchers.includes(peer))
      .forEach((peer) => this.sendHeartbeat(peer));
  }

  private scheduleTick(): void {
    const { context } = this.dependencies;
    this.tickDueMs = context.nowMs + HEARTBEAT_MS;
    context.schedule(HEARTBEAT_MS, () => this.tick());
  }

  private tick(): void {
    const { context } = this.dependencies;
    const lateMs = context.nowMs - this.tickDueMs;
    if (lateMs > PAUSE_TOLERANCE_MS) this.monitor.acceptPause(lateMs);
    this.sendRound();
    this.reportSilence();
    this.scheduleTick();
  }

  private sendRound(): void {
    const isSlowRound = this.round % HEARTBEATS_PER_SLOW_ROUND === 0;
    this.round += 1;
    const peers = isSlowRound ? this.dependencies.listLinked() : this.watchers;
    peers.forEach((peer) => this.sendHeartbeat(peer));
  }

  private reportSilence(): void {
    const { context, listLinked, findVm, send, onJudged } = this.dependencies;
    const silent = this.monitor.checkSilence(context.nowMs);
    if (silent.length === 0) return;
    onJudged();
    silent.forEach((vmId) => {
      const vm = findVm(vmId);
      if (vm === undefined) return;
      const message = { kind: 'membership.suspected', vmId, incarnation: vm.incarnation } as const;
      listLinked()
        .filter((peer) => peer !== vmId && !this.monitor.isSuspected(peer))
        .forEach((peer) => send(peer, message));
    });
  }
}
