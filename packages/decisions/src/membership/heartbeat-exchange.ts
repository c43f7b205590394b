import type { EntryVm, EntryVmId, LinkMessage, MonotonicMs } from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import {
  FULL_MESH_LIMIT,
  HEARTBEATS_PER_SLOW_ROUND,
  HEARTBEAT_INTERVAL_MS,
  PROCESS_PAUSE_THRESHOLD_MS,
  SLOW_HEARTBEAT_INTERVAL_MS,
  WATCHER_COUNT,
} from './consts.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';
import { rankOwners } from './rendezvous.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly readConfigurationVersion: () => number;
  readonly listLinked: () => readonly EntryVmId[];
  readonly findVm: (peer: EntryVmId) => EntryVm | undefined;
  readonly send: (peer: EntryVmId, message: LinkMessage) => void;
  /** Called when a peer becomes suspected, or is no longer suspected. */
  readonly onSuspicionChanged: () => void;
}

/**
 * Sends heartbeats and monitors those of the peers. A few peers, the watchers, receive heartbeats at
 * a short interval and all others at a long one, so that the traffic does not grow with the fleet. A
 * watcher that misses heartbeats reports the suspicion to its peers. Each of them probes the suspected
 * entry VM itself and does not suspect it because of the report alone.
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

  recordMessage(peer: EntryVmId, intervalMs?: number): void {
    const { context, onSuspicionChanged } = this.dependencies;
    if (this.monitor.recordMessage(peer, context.nowMs, intervalMs)) onSuspicionChanged();
  }

  sendHeartbeat(peer: EntryVmId): void {
    const { context, readConfigurationVersion, send } = this.dependencies;
    const isWatcher = this.watchers.includes(peer);
    send(peer, {
      kind: 'membership.heartbeat',
      incarnation: context.self.incarnation,
      configurationVersion: readConfigurationVersion(),
      intervalMs: isWatcher ? HEARTBEAT_INTERVAL_MS : SLOW_HEARTBEAT_INTERVAL_MS,
    });
  }

  /** Probes a peer that another entry VM suspects. */
  probe(peer: EntryVmId): void {
    const { context, send } = this.dependencies;
    if (this.monitor.recordProbeSent(peer, context.nowMs)) send(peer, { kind: 'membership.probe' });
  }

  /**
   * Chooses the watchers: among all linked peers in a small fleet, among those of this failure domain
   * in a large one. Peers that are no longer watchers get a heartbeat that announces the longer
   * interval.
   */
  updateWatchers(): void {
    const { context, listLinked, findVm } = this.dependencies;
    const { self } = context;
    const linked = listLinked();
    const localPeers = linked.filter((peer) => findVm(peer)?.failureDomain === self.failureDomain);
    const candidates = linked.length < FULL_MESH_LIMIT ? linked : localPeers;
    const before = this.watchers;
    this.watchers = rankOwners(self.id, candidates).slice(0, WATCHER_COUNT);
    before
      .filter((peer) => linked.includes(peer) && !this.watchers.includes(peer))
      .forEach((peer) => this.sendHeartbeat(peer));
  }

  private scheduleTick(): void {
    const { context } = this.dependencies;
    this.tickDueMs = context.nowMs + HEARTBEAT_INTERVAL_MS;
    context.schedule(HEARTBEAT_INTERVAL_MS, () => this.runTick());
  }

  private runTick(): void {
    const { context } = this.dependencies;
    const lateMs = context.nowMs - this.tickDueMs;
    if (lateMs > PROCESS_PAUSE_THRESHOLD_MS) this.monitor.handleProcessPause(lateMs);
    this.sendRound();
    this.reportSuspected();
    this.scheduleTick();
  }

  private sendRound(): void {
    const isSlowRound = this.round % HEARTBEATS_PER_SLOW_ROUND === 0;
    this.round += 1;
    const peers = isSlowRound ? this.dependencies.listLinked() : this.watchers;
    peers.forEach((peer) => this.sendHeartbeat(peer));
  }

  private reportSuspected(): void {
    const { context, listLinked, findVm, send, onSuspicionChanged } = this.dependencies;
    const suspected = this.monitor.checkTimeouts(context.nowMs);
    if (suspected.length === 0) return;
    onSuspicionChanged();
    suspected.forEach((vmId) => {
      const vm = findVm(vmId);
      if (vm === undefined) return;
      const message = { kind: 'membership.suspected', vmId, incarnation: vm.incarnation } as const;
      listLinked()
        .filter((peer) => peer !== vmId && !this.monitor.isSuspected(peer))
        .forEach((peer) => send(peer, message));
    });
  }
}
