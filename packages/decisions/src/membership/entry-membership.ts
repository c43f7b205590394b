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
  type MemberFact,
  type MembershipEntry,
  type MembershipMessage,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import { FACTS_ASK_MS, MIN_LIST_SHARE } from './consts.js';
import { EndpointHealth } from './endpoint-health.js';
import { HeartbeatExchange } from './heartbeat-exchange.js';
import { HomeFinder } from './home-finder.js';
import { LinkKeeper } from './link-keeper.js';
import { listPlannedPeers } from './link-plan.js';
import { MemberTable, type Member } from './member-table.js';
import { MembershipList } from './membership-list.js';
import type { EndpointOutcome, Membership, MemberView, Owner, OwnerLife } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly readConfiguration: () => Configuration | undefined;
  readonly readVersion: () => number;
}

type MessageHandlers = {
  readonly [Kind in MembershipMessage['kind']]: (
    peer: EntryVmId,
    message: Extract<MembershipMessage, { readonly kind: Kind }>,
  ) => void;
};

/**
 * Who is there: entry VMs and endpoints, as far as this entry VM can tell. The platform's list and
 * the peers' news say who exists; whether a linked peer is live is judged by what comes from it.
 */
export class EntryMembership implements Membership {
  private readonly context: NodeContext;

  private readonly table: MemberTable;

  private readonly links: LinkKeeper;

  private readonly list: MembershipList;

  private readonly heartbeats: HeartbeatExchange;

  private readonly homes: HomeFinder;

  private readonly endpoints: EndpointHealth;

  private readonly messageHandlers: MessageHandlers;

  private state: MemberFact['state'] = 'live';

  private factsAskedAtMs: number | undefined;

  private planKey = '';

  constructor(private readonly dependencies: Dependencies) {
    const { context, readConfiguration, readVersion } = dependencies;
    this.context = context;
    this.table = new MemberTable(context.self);
    this.links = new LinkKeeper(context, () => this.update());
    this.list = new MembershipList(context, (entries, endpoints) =>
      this.acceptList(entries, endpoints),
    );
    this.heartbeats = new HeartbeatExchange({
      context,
      readVersion,
      listLinked: () => this.links.listLinked(),
      findVm: (peer) => this.table.find(peer)?.vm,
      send: (peer, message) => this.send(peer, message),
      onJudged: () => this.update(),
    });
    this.homes = new HomeFinder(context, (id) => this.isLeaving(id));
    this.endpoints = new EndpointHealth(context, readConfiguration);
    this.messageHandlers = this.createMessageHandlers();
    this.update();
  }

  start(): void {
    this.list.start();
    this.heartbeats.start();
  }

  /** Tells all peers that this entry VM takes no new work; its homes move. Never taken back. */
  becomeLeaving(): void {
    if (this.state === 'leaving') return;
    this.state = 'leaving';
    this.update();
    this.links.listLinked().forEach((peer) => this.sendHello(peer));
  }

  listLive(): readonly EntryVm[] {
    return this.homes.live;
  }

  listLinked(): readonly EntryVmId[] {
    return this.links.listLinked();
  }

  listMembers(): readonly MemberView[] {
    return this.table.list().map((member) => ({
      vm: member.vm,
      state: this.judge(member),
      configurationVersion: member.configurationVersion,
    }));
  }

  send(peer: EntryVmId, message: LinkMessage): void {
    this.links.send(this.table.find(peer)?.vm, peer, message);
  }

  isUsable(endpoint: EndpointId): boolean {
    return this.endpoints.isUsable(endpoint);
  }

  readShare(endpoint: EndpointId): number {
    return this.endpoints.readShare(endpoint);
  }

  reportOutcome(endpoint: EndpointId, outcome: EndpointOutcome): void {
    this.endpoints.acceptOutcome(endpoint, outcome);
  }

  judgeOwner({ vmId, incarnation }: Owner): OwnerLife {
    const { self } = this.context;
    const own = vmId === self.id ? self.incarnation : undefined;
    const known = own ?? this.table.find(vmId)?.vm.incarnation;
    if (known === undefined) return 'unreachable';
    if (known > incarnation) return 'replaced';
    const member = this.table.find(vmId);
    if (member === undefined) return 'live';
    const isHeard = this.links.isLinked(vmId) && !this.heartbeats.isSuspected(vmId);
    return isHeard || this.judge(member) === 'live' ? 'live' : 'unreachable';
  }

  findHome(engine: Engine): EntryVmId | undefined {
    return this.homes.findHome(engine);
  }

  onHomesChanged(listener: () => void): void {
    this.homes.onChanged(listener);
  }

  acceptLinkOpened(peer: EntryVmId): void {
    this.links.acceptOpened(peer);
    this.heartbeats.addPeer(peer);
    this.update();
    this.sendHello(peer);
    this.heartbeats.sendHeartbeat(peer);
  }

  acceptLinkClosed(peer: EntryVmId): void {
    this.links.acceptClosed(peer);
    this.heartbeats.removePeer(peer);
    this.update();
  }

  /** Takes any message of a peer as a sign of life. */
  acceptSign(peer: EntryVmId): void {
    this.heartbeats.acceptSign(peer);
  }

  acceptMessage(peer: EntryVmId, message: MembershipMessage): void {
    const parsed = membershipMessageSchema.safeParse(message);
    if (!parsed.success) {
      this.context.log(logEvents.membershipMessageRejected, { peer });
      return;
    }
    const handler = this.messageHandlers[parsed.data.kind] as (
      from: EntryVmId,
      given: MembershipMessage,
    ) => void;
    handler(peer, parsed.data);
  }

  private createMessageHandlers(): MessageHandlers {
    return {
      'membership.hello': (peer, { vm, state, configurationVersion, digest }) => {
        if (vm.id !== peer) return;
        const { nowMs } = this.context;
        const news = this.table.acceptSelfReport({ vm, state }, configurationVersion, nowMs);
        if (news) this.spread([{ vm, state }], [], peer);
        this.update();
        if (digest !== this.hashFacts()) this.askFacts(peer);
      },
      'membership.heartbeat': (peer, { incarnation, configurationVersion, intervalMs }) => {
        const member = this.table.find(peer);
        if (member === undefined || incarnation > member.vm.incarnation) {
          this.send(peer, { kind: 'membership.ask' });
        } else if (incarnation === member.vm.incarnation) {
          member.configurationVersion = Math.max(member.configurationVersion, configurationVersion);
          this.heartbeats.acceptSign(peer, intervalMs);
        }
      },
      'membership.ask': (peer) => {
        this.sendHello(peer);
        this.sendFacts(peer, this.table.listFacts(), this.endpoints.listLeaving());
      },
      'membership.facts': (peer, { members, leavingEndpoints }) =>
        this.acceptFacts(members, leavingEndpoints, peer),
      'membership.suspected': (peer, { vmId, incarnation }) =>
        this.acceptSuspicion(peer, vmId, incarnation),
      'membership.probe': (peer) => this.heartbeats.sendHeartbeat(peer),
    };
  }

  private acceptList(
    entries: readonly MembershipEntry[],
    endpoints: readonly EndpointEntry[],
  ): void {
    const { nowMs } = this.context;
    const news = entries.filter((entry) => this.table.acceptListed(entry, nowMs));
    const facts = news.filter(
      ({ vm }) => this.table.find(vm.id)?.vm.incarnation === vm.incarnation,
    );
    this.spread(facts, this.endpoints.acceptListed(endpoints), undefined);
    if (entries.length >= this.table.size * MIN_LIST_SHARE) this.forgetUnmentioned();
    this.update();
  }

  private forgetUnmentioned(): void {
    this.table
      .forgetUnmentioned(this.context.nowMs, (peer) => this.links.isLinked(peer))
      .forEach(({ id }) => this.context.log(logEvents.peerForgotten, { peer: id }));
  }

  private acceptFacts(
    members: readonly MemberFact[],
    leavingEndpoints: readonly EndpointId[],
    peer: EntryVmId,
  ): void {
    const { nowMs } = this.context;
    const news = members.filter((fact) => this.table.accept(fact, nowMs));
    const leaving = leavingEndpoints.filter((id) => this.endpoints.acceptLeaving(id));
    this.spread(news, leaving, peer);
    this.update();
  }

  private acceptSuspicion(peer: EntryVmId, vmId: EntryVmId, incarnation: number): void {
    const { self } = this.context;
    if (vmId === self.id) {
      if (incarnation === self.incarnation) this.heartbeats.sendHeartbeat(peer);
      return;
    }
    if (this.table.find(vmId)?.vm.incarnation === incarnation) this.heartbeats.probe(vmId);
  }

  /** Passes news on over all links but the one that it came over. */
  private spread(
    members: readonly MemberFact[],
    leavingEndpoints: readonly EndpointId[],
    source: EntryVmId | undefined,
  ): void {
    const known = members.filter(({ vm }) => vm.incarnation > 0);
    if (known.length === 0 && leavingEndpoints.length === 0) return;
    this.links
      .listLinked()
      .filter((peer) => peer !== source)
      .forEach((peer) => this.sendFacts(peer, known, leavingEndpoints));
  }

  private sendFacts(
    peer: EntryVmId,
    members: readonly MemberFact[],
    leavingEndpoints: readonly EndpointId[],
  ): void {
    this.send(peer, {
      kind: 'membership.facts',
      members: members.map(({ vm, state }) => ({ vm, state })),
      leavingEndpoints: [...leavingEndpoints],
    });
  }

  private sendHello(peer: EntryVmId): void {
    this.send(peer, {
      kind: 'membership.hello',
      vm: this.context.self,
      state: this.state,
      configurationVersion: this.dependencies.readVersion(),
      digest: this.hashFacts(),
    });
  }

  /** Asks at most one peer in a while, since a full answer is large. */
  private askFacts(peer: EntryVmId): void {
    const { nowMs } = this.context;
    if (this.factsAskedAtMs !== undefined && nowMs - this.factsAskedAtMs < FACTS_ASK_MS) return;
    this.factsAskedAtMs = nowMs;
    this.send(peer, { kind: 'membership.ask' });
  }

  private hashFacts(): number {
    return this.table.hashFacts({ vm: this.context.self, state: this.state });
  }

  private judge({ vm, state, listedLeaving }: Member): MemberView['state'] {
    if (state === 'leaving' || listedLeaving) return 'leaving';
    if (this.heartbeats.isSuspected(vm.id)) return 'unreachable';
    if (this.links.isLinked(vm.id)) return 'live';
    return this.links.isPlanned(vm.id) || this.links.isUnreachable(vm.id) ? 'unreachable' : 'live';
  }

  private isLeaving(id: EntryVmId): boolean {
    const member = this.table.find(id);
    return member !== undefined && this.judge(member) === 'leaving';
  }

  private mayBeGateway(id: EntryVmId): boolean {
    if (id === this.context.self.id) return this.state === 'live';
    return this.table.find(id)?.state === 'live' && !this.links.isUnreachable(id);
  }

  /** Draws the conclusions of whatever changed: links to keep, who is live, where homes are. */
  private update(): void {
    this.updatePlan();
    this.heartbeats.updateWatchers();
    const live = this.table
      .list()
      .filter((member) => this.judge(member) === 'live')
      .map(({ vm }) => vm);
    this.homes.updateLive(this.state === 'live' ? [this.context.self, ...live] : live);
  }

  /** Plans links anew only where what the plan depends on has changed. */
  private updatePlan(): void {
    const key = `${this.table.version}|${this.links.unreachableVersion}|${this.state}`;
    if (key === this.planKey) return;
    this.planKey = key;
    const { self } = this.context;
    const vms = [self, ...this.table.list().map(({ vm }) => vm)];
    this.links.updatePlan(listPlannedPeers(self, vms, ({ id }) => this.mayBeGateway(id)));
  }
}
