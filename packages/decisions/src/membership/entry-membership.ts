import {
  logEvents,
  membershipMessageSchema,
  type Configuration,
  type EndpointEntry,
  type EndpointId,
  type Engine,
  type EntryVm,
  type EntryVmId,
  type LinkMessage,
  type MemberRecord,
  type MembershipEntry,
  type MembershipMessage,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import { SYNC_REQUEST_INTERVAL_MS, MIN_LIST_FRACTION } from './consts.js';
import { EndpointHealth } from './endpoint-health.js';
import { HeartbeatExchange } from './heartbeat-exchange.js';
import { CoordinatorFinder } from './coordinator-finder.js';
import { LinkManager } from './link-manager.js';
import { listPlannedPeers } from './link-plan.js';
import { MemberTable, type Member } from './member-table.js';
import { MembershipPoller } from './membership-poller.js';
import type { EndpointOutcome, Membership, MemberView, Owner, OwnerState } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly readConfiguration: () => Configuration | undefined;
  readonly readConfigurationVersion: () => number;
}

type MessageHandlers = {
  readonly [Kind in MembershipMessage['kind']]: (
    peer: EntryVmId,
    message: Extract<MembershipMessage, { readonly kind: Kind }>,
  ) => void;
};

/**
 * Membership of entry VMs and health of endpoints, as seen by this entry VM. The platform's list and
 * the records from peers say which entry VMs exist. Whether a linked peer is live follows from its
 * heartbeats.
 */
export class EntryMembership implements Membership {
  private readonly context: NodeContext;

  private readonly table: MemberTable;

  private readonly links: LinkManager;

  private readonly poller: MembershipPoller;

  private readonly heartbeats: HeartbeatExchange;

  private readonly coordinators: CoordinatorFinder;

  private readonly endpoints: EndpointHealth;

  private readonly messageHandlers: MessageHandlers;

  private state: MemberRecord['state'] = 'live';

  private syncRequestedAtMs: number | undefined;

  private planKey = '';

  constructor(private readonly dependencies: Dependencies) {
    const { context, readConfiguration, readConfigurationVersion } = dependencies;
    this.context = context;
    this.table = new MemberTable(context.self);
    this.links = new LinkManager(context, () => this.update());
    this.poller = new MembershipPoller(context, (entries, endpoints) =>
      this.handleList(entries, endpoints),
    );
    this.heartbeats = new HeartbeatExchange({
      context,
      readConfigurationVersion,
      listLinked: () => this.links.listLinked(),
      findVm: (peer) => this.table.find(peer)?.vm,
      send: (peer, message) => this.send(peer, message),
      onSuspicionChanged: () => this.update(),
    });
    this.coordinators = new CoordinatorFinder(context, (id) => this.isLeaving(id));
    this.endpoints = new EndpointHealth(context, readConfiguration);
    this.messageHandlers = this.createMessageHandlers();
    this.update();
  }

  start(): void {
    this.poller.start();
    this.heartbeats.start();
  }

  /**
   * Announces to all peers that this entry VM takes no new work, so that other entry VMs become the
   * coordinators of its engines. This is irreversible for this incarnation.
   */
  startLeaving(): void {
    if (this.state === 'leaving') return;
    this.state = 'leaving';
    this.update();
    this.links.listLinked().forEach((peer) => this.sendHello(peer));
  }

  listLive(): readonly EntryVm[] {
    return this.coordinators.live;
  }

  listLinked(): readonly EntryVmId[] {
    return this.links.listLinked();
  }

  listMembers(): readonly MemberView[] {
    return this.table.list().map((member) => ({
      vm: member.vm,
      state: this.decideState(member),
      configurationVersion: member.configurationVersion,
    }));
  }

  send(peer: EntryVmId, message: LinkMessage): void {
    this.links.send(this.table.find(peer)?.vm, peer, message);
  }

  isUsable(endpoint: EndpointId): boolean {
    return this.endpoints.isUsable(endpoint);
  }

  readTrafficFraction(endpoint: EndpointId): number {
    return this.endpoints.readTrafficFraction(endpoint);
  }

  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void {
    this.endpoints.recordOutcome(endpoint, outcome);
  }

  checkOwner({ vmId, incarnation }: Owner): OwnerState {
    const { self } = this.context;
    const ownIncarnation = vmId === self.id ? self.incarnation : undefined;
    const known = ownIncarnation ?? this.table.find(vmId)?.vm.incarnation;
    if (known === undefined) return 'unreachable';
    if (known > incarnation) return 'replaced';
    const member = this.table.find(vmId);
    if (member === undefined) return 'live';
    const isResponding = this.links.isLinked(vmId) && !this.heartbeats.isSuspected(vmId);
    return isResponding || this.decideState(member) === 'live' ? 'live' : 'unreachable';
  }

  findCoordinator(engine: Engine): EntryVmId | undefined {
    return this.coordinators.findCoordinator(engine);
  }

  onCoordinatorsChanged(listener: () => void): void {
    this.coordinators.onChanged(listener);
  }

  handleLinkOpened(peer: EntryVmId): void {
    this.links.handleOpened(peer);
    this.heartbeats.addPeer(peer);
    this.update();
    this.sendHello(peer);
    this.heartbeats.sendHeartbeat(peer);
  }

  handleLinkClosed(peer: EntryVmId): void {
    this.links.handleClosed(peer);
    this.heartbeats.removePeer(peer);
    this.update();
  }

  /** Records a message of a peer; a message of any kind counts as a heartbeat. */
  recordMessage(peer: EntryVmId): void {
    this.heartbeats.recordMessage(peer);
  }

  handleMessage(peer: EntryVmId, message: MembershipMessage): void {
    const parsed = membershipMessageSchema.safeParse(message);
    if (!parsed.success) {
      this.context.log(logEvents.membershipMessageRejected, { peer });
      return;
    }
    const handler = this.messageHandlers[parsed.data.kind] as (
      from: EntryVmId,
      received: MembershipMessage,
    ) => void;
    handler(peer, parsed.data);
  }

  private createMessageHandlers(): MessageHandlers {
    return {
      'membership.hello': (peer, { vm, state, configurationVersion, digest }) => {
        if (vm.id !== peer) return;
        const { nowMs } = this.context;
        const isChanged = this.table.applySelfReport({ vm, state }, configurationVersion, nowMs);
        if (isChanged) this.sendUpdates([{ vm, state }], [], peer);
        this.update();
        if (digest !== this.hashRecords()) this.requestSync(peer);
      },
      'membership.heartbeat': (peer, { incarnation, configurationVersion, intervalMs }) => {
        const member = this.table.find(peer);
        if (member === undefined || incarnation > member.vm.incarnation) {
          this.send(peer, { kind: 'membership.ask' });
        } else if (incarnation === member.vm.incarnation) {
          member.configurationVersion = Math.max(member.configurationVersion, configurationVersion);
          this.heartbeats.recordMessage(peer, intervalMs);
        }
      },
      'membership.ask': (peer) => {
        this.sendHello(peer);
        this.sendRecords(peer, this.table.listRecords(), this.endpoints.listLeaving());
      },
      'membership.facts': (peer, { members, leavingEndpoints }) =>
        this.applyRecords(members, leavingEndpoints, peer),
      'membership.suspected': (peer, { vmId, incarnation }) =>
        this.handleSuspicion(peer, vmId, incarnation),
      'membership.probe': (peer) => this.heartbeats.sendHeartbeat(peer),
    };
  }

  private handleList(
    entries: readonly MembershipEntry[],
    endpoints: readonly EndpointEntry[],
  ): void {
    const { nowMs } = this.context;
    const changedEntries = entries.filter((entry) => this.table.applyListed(entry, nowMs));
    const newRecords = changedEntries.filter(
      ({ vm }) => this.table.find(vm.id)?.vm.incarnation === vm.incarnation,
    );
    this.sendUpdates(newRecords, this.endpoints.applyListed(endpoints), undefined);
    if (entries.length >= this.table.size * MIN_LIST_FRACTION) this.expireMembers();
    this.update();
  }

  private expireMembers(): void {
    this.table
      .expireMembers(this.context.nowMs, (peer) => this.links.isLinked(peer))
      .forEach(({ id }) => this.context.log(logEvents.peerForgotten, { peer: id }));
  }

  private applyRecords(
    members: readonly MemberRecord[],
    leavingEndpoints: readonly EndpointId[],
    peer: EntryVmId,
  ): void {
    const { nowMs } = this.context;
    const newRecords = members.filter((record) => this.table.applyRecord(record, nowMs));
    const newlyLeaving = leavingEndpoints.filter((id) => this.endpoints.recordLeaving(id));
    this.sendUpdates(newRecords, newlyLeaving, peer);
    this.update();
  }

  private handleSuspicion(peer: EntryVmId, vmId: EntryVmId, incarnation: number): void {
    const { self } = this.context;
    if (vmId === self.id) {
      if (incarnation === self.incarnation) this.heartbeats.sendHeartbeat(peer);
      return;
    }
    if (this.table.find(vmId)?.vm.incarnation === incarnation) this.heartbeats.probe(vmId);
  }

  /** Sends new records and newly leaving endpoints to all linked peers except `source`. */
  private sendUpdates(
    members: readonly MemberRecord[],
    leavingEndpoints: readonly EndpointId[],
    source: EntryVmId | undefined,
  ): void {
    const sendable = members.filter(({ vm }) => vm.incarnation > 0);
    if (sendable.length === 0 && leavingEndpoints.length === 0) return;
    this.links
      .listLinked()
      .filter((peer) => peer !== source)
      .forEach((peer) => this.sendRecords(peer, sendable, leavingEndpoints));
  }

  private sendRecords(
    peer: EntryVmId,
    members: readonly MemberRecord[],
    leavingEndpoints: readonly EndpointId[],
  ): void {
    this.send(peer, {
      kind: 'membership.facts',
      members: members.map(({ vm, state }) => ({ vm, state })),
      leavingEndpoints: [...leavingEndpoints],
    });
  }

  /** Sends the state of this entry VM and the digest of all records that it knows. */
  private sendHello(peer: EntryVmId): void {
    this.send(peer, {
      kind: 'membership.hello',
      vm: this.context.self,
      state: this.state,
      configurationVersion: this.dependencies.readConfigurationVersion(),
      digest: this.hashRecords(),
    });
  }

  /**
   * Requests all records of a peer whose digest differs, at most once per `SYNC_REQUEST_INTERVAL_MS`
   * over all peers, because the answer is large.
   */
  private requestSync(peer: EntryVmId): void {
    const { nowMs } = this.context;
    if (
      this.syncRequestedAtMs !== undefined &&
      nowMs - this.syncRequestedAtMs < SYNC_REQUEST_INTERVAL_MS
    )
      return;
    this.syncRequestedAtMs = nowMs;
    this.send(peer, { kind: 'membership.ask' });
  }

  private hashRecords(): number {
    return this.table.hashRecords({ vm: this.context.self, state: this.state });
  }

  private decideState({ vm, state, isListedLeaving }: Member): MemberView['state'] {
    if (state === 'leaving' || isListedLeaving) return 'leaving';
    if (this.heartbeats.isSuspected(vm.id)) return 'unreachable';
    if (this.links.isLinked(vm.id)) return 'live';
    return this.links.isPlanned(vm.id) || this.links.isUnreachable(vm.id) ? 'unreachable' : 'live';
  }

  private isLeaving(id: EntryVmId): boolean {
    const member = this.table.find(id);
    return member !== undefined && this.decideState(member) === 'leaving';
  }

  private mayBeBridge(id: EntryVmId): boolean {
    if (id === this.context.self.id) return this.state === 'live';
    return this.table.find(id)?.state === 'live' && !this.links.isUnreachable(id);
  }

  /** Updates the link plan, the watchers, the live entry VMs and the coordinators after a change. */
  private update(): void {
    this.updatePlan();
    this.heartbeats.updateWatchers();
    const live = this.table
      .list()
      .filter((member) => this.decideState(member) === 'live')
      .map(({ vm }) => vm);
    this.coordinators.updateLive(this.state === 'live' ? [this.context.self, ...live] : live);
  }

  /** Recomputes the link plan if one of its inputs has changed. */
  private updatePlan(): void {
    const key = `${this.table.version}|${this.links.unreachableVersion}|${this.state}`;
    if (key === this.planKey) return;
    this.planKey = key;
    const { self } = this.context;
    const vms = [self, ...this.table.list().map(({ vm }) => vm)];
    this.links.updatePlan(listPlannedPeers(self, vms, ({ id }) => this.mayBeBridge(id)));
  }
}
