import { TimerQueue, type NodeEffect, type NodeEvent } from '@savorywind/decisions';
import {
  Err,
  Ok,
  type EntryVm,
  type EntryVmId,
  type FailureDomainId,
  type MembershipEntry,
  type PlatformCall,
  type PlatformFailure,
  type PlatformReply,
  type Result,
} from '@savorywind/model';
import { FrameCodec } from '@savorywind/entry';
import { createRandomSource } from '../simulation/random-source.js';
import { ClusterMember } from './cluster-member.js';

/** Delay of a link message, of a connection and of a platform call. */
const NETWORK_DELAY_MS = 1;

/** Extra delay before the VM with the higher id connects, so that normally only the other does. */
const SECOND_INITIATOR_DELAY_MS = 1_500;

/** Range of the random delay before a failed or closed link is connected again. */
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 2_000;

/** Time until a started or stopped entry VM shows in the platform's membership list. */
const LIST_UPDATE_DELAY_MS = 2_000;

/** Name of the platform among the network locations that can be partitioned. */
export const PLATFORM = 'platform';

type EffectOf<Kind extends NodeEffect['kind']> = Extract<NodeEffect, { readonly kind: Kind }>;

type Handlers = {
  readonly [Kind in NodeEffect['kind']]?: (member: ClusterMember, effect: EffectOf<Kind>) => void;
};

/**
 * Simulates the membership of many entry VMs: only their links and the platform's membership list.
 * Its clock jumps from event to event, so that behaviour and resource usage can be measured at full
 * fleet size.
 */
export class SimulatedCluster {
  readonly members = new Map<EntryVmId, ClusterMember>();

  /** Membership list of the platform; undefined while the platform is unavailable. */
  membershipList: readonly MembershipEntry[] | undefined = [];

  private nowMs = 0;

  private nextIncarnation = 1;

  private readonly timers = new TimerQueue();

  /** Pairs of network locations without a connection, in both directions, as `FROM|TO`. */
  private readonly partitions = new Set<string>();

  private readonly random;

  private readonly handlers: Handlers = {
    'link.open': (member, { vm }) => this.openLink(member, vm),
    'link.close': (member, { peer }) => this.closeLink(member, peer),
    'link.send': (member, effect) => this.sendMessage(member, effect),
    log: (member, { event }) => {
      member.loggedEvents.push(event.name);
    },
    'platform.call': (member, { callId, call }) => this.callPlatform(member, callId, call),
  };

  constructor(private readonly seed: number) {
    this.random = createRandomSource(seed);
  }

  /** Starts an entry VM, or its next incarnation if the id was started before. */
  start(id: EntryVmId, failureDomain: FailureDomainId): ClusterMember {
    const incarnation = this.nextIncarnation;
    this.nextIncarnation += 1;
    const vm: EntryVm = { id, incarnation, failureDomain, link: { host: id, port: 1 } };
    const member = new ClusterMember(vm, this.seed * 1_000 + incarnation, (emitter, effect) =>
      this.runEffect(emitter, effect),
    );
    this.members.set(id, member);
    this.scheduleListUpdate();
    this.timers.schedule(this.nowMs, () => this.dispatch(member, { kind: 'started' }));
    return member;
  }

  /** Stops a process abruptly; its peers see their links close. */
  kill(id: EntryVmId): void {
    const member = this.findMember(id);
    member.state = 'stopped';
    [...member.linkCodecs.keys()].forEach((peer) => this.dropLink(id, peer));
    this.scheduleListUpdate();
  }

  /** Suspends a process, as when its VM is paused: it handles nothing until it resumes. */
  suspend(id: EntryVmId): void {
    this.findMember(id).state = 'suspended';
  }

  resume(id: EntryVmId): void {
    const member = this.findMember(id);
    member.resume(this.nowMs);
    this.scheduleWake(member);
  }

  drain(id: EntryVmId): void {
    this.dispatch(this.findMember(id), { kind: 'drainRequested' });
  }

  /** Disconnects two failure domains, or a failure domain and the platform. */
  partition(a: string, b: string): void {
    this.partitions.add(`${a}|${b}`);
    this.partitions.add(`${b}|${a}`);
    this.members.forEach((member) => {
      [...member.linkCodecs.keys()]
        .filter((peer) => !this.isReachable(member, peer))
        .forEach((peer) => this.dropLink(member.vm.id, peer));
    });
  }

  /** Ends all partitions. */
  reconnectAll(): void {
    this.partitions.clear();
  }

  /** Moves the clock forward and runs the timers that become due. */
  advance(ms: number): void {
    const untilMs = this.nowMs + ms;
    for (;;) {
      const dueMs = this.timers.findNextDueMs();
      if (dueMs === undefined || dueMs > untilMs) break;
      this.nowMs = Math.max(this.nowMs, dueMs);
      this.timers.runDue(this.nowMs);
    }
    this.nowMs = untilMs;
  }

  listRunning(): ClusterMember[] {
    return [...this.members.values()].filter(({ state }) => state === 'running');
  }

  findMember(id: EntryVmId): ClusterMember {
    const member = this.members.get(id);
    if (member === undefined) throw new Error(`no entry VM ${id}`);
    return member;
  }

  private dispatch(member: ClusterMember, event: NodeEvent): void {
    member.handle(event, this.nowMs);
    this.scheduleWake(member);
  }

  /** Schedules the next `woken` event unless an earlier one is scheduled. */
  private scheduleWake(member: ClusterMember): void {
    const wakeMs = member.nextWakeMs();
    if (wakeMs === undefined || member.state !== 'running') return;
    if (member.scheduledWakeMs !== undefined && member.scheduledWakeMs <= wakeMs) return;
    member.scheduledWakeMs = wakeMs;
    this.timers.schedule(wakeMs, () => {
      if (member.scheduledWakeMs === wakeMs) member.scheduledWakeMs = undefined;
      if (member.state === 'running') this.dispatch(member, { kind: 'woken' });
    });
  }

  private runEffect(member: ClusterMember, effect: NodeEffect): void {
    const handler = this.handlers[effect.kind] as
      ((emitter: ClusterMember, handledEffect: NodeEffect) => void) | undefined;
    handler?.(member, effect);
  }

  /** Whether the failure domains of a member and a peer are connected. */
  private isReachable(member: ClusterMember, peer: EntryVmId): boolean {
    const peerDomain = this.members.get(peer)?.vm.failureDomain ?? '';
    return !this.partitions.has(`${member.vm.failureDomain}|${peerDomain}`);
  }

  private openLink(member: ClusterMember, vm: EntryVm): void {
    const isNew = !member.requestedPeers.has(vm.id);
    member.requestedPeers.set(vm.id, vm);
    if (isNew) this.scheduleConnect(member, vm.id, NETWORK_DELAY_MS);
  }

  private scheduleConnect(member: ClusterMember, peer: EntryVmId, delayMs: number): void {
    const initiatorDelayMs = member.vm.id < peer ? 0 : SECOND_INITIATOR_DELAY_MS;
    this.timers.schedule(this.nowMs + delayMs + initiatorDelayMs, () => this.connect(member, peer));
  }

  private connect(member: ClusterMember, peer: EntryVmId): void {
    const peerMember = this.members.get(peer);
    const isObsolete =
      member.state === 'stopped' || member.linkCodecs.has(peer) || !member.requestedPeers.has(peer);
    if (isObsolete) return;
    const isBothRunning = member.state === 'running' && peerMember?.state === 'running';
    if (!isBothRunning || !this.isReachable(member, peer)) {
      this.scheduleConnect(
        member,
        peer,
        this.random.drawBetween(RECONNECT_MIN_MS, RECONNECT_MAX_MS),
      );
      return;
    }
    member.linkCodecs.set(peer, new FrameCodec());
    peerMember.linkCodecs.set(member.vm.id, new FrameCodec());
    this.dispatch(member, { kind: 'link.opened', peer });
    this.dispatch(peerMember, { kind: 'link.opened', peer: member.vm.id });
  }

  private closeLink(member: ClusterMember, peer: EntryVmId): void {
    member.requestedPeers.delete(peer);
    this.timers.schedule(this.nowMs, () => this.dropLink(member.vm.id, peer));
  }

  /** Closes a link on both sides; a side that still requests it reconnects after a random delay. */
  private dropLink(a: EntryVmId, b: EntryVmId): void {
    [
      [a, b],
      [b, a],
    ].forEach(([id = '', peer = '']) => {
      const member = this.members.get(id);
      if (member?.linkCodecs.delete(peer) !== true) return;
      this.dispatch(member, { kind: 'link.closed', peer });
      if (member.requestedPeers.has(peer)) {
        this.scheduleConnect(
          member,
          peer,
          this.random.drawBetween(RECONNECT_MIN_MS, RECONNECT_MAX_MS),
        );
      }
    });
  }

  private sendMessage(member: ClusterMember, { peer, message }: EffectOf<'link.send'>): void {
    const frame = member.encode(peer, message);
    const peerMember = this.members.get(peer);
    if (frame === undefined || peerMember === undefined) return;
    const codec = member.linkCodecs.get(peer);
    this.timers.schedule(this.nowMs + NETWORK_DELAY_MS, () => {
      if (member.linkCodecs.get(peer) !== codec || peerMember.state === 'stopped') return;
      const received = peerMember.decode(member.vm.id, frame);
      if (received === undefined) return;
      this.dispatch(peerMember, { kind: 'link.received', peer: member.vm.id, message: received });
    });
  }

  private callPlatform(member: ClusterMember, callId: number, call: PlatformCall): void {
    const isReachable = !this.partitions.has(`${member.vm.failureDomain}|${PLATFORM}`);
    if (call.kind === 'membership' && isReachable) {
      member.usage.listBytes += JSON.stringify(this.membershipList ?? []).length;
    }
    const reply = isReachable ? this.buildPlatformReply(call) : Err('unsent' as const);
    this.timers.schedule(this.nowMs + NETWORK_DELAY_MS, () =>
      this.dispatch(member, { kind: 'platform.replied', callId, reply }),
    );
  }

  private buildPlatformReply(call: PlatformCall): Result<PlatformReply, PlatformFailure> {
    if (this.membershipList === undefined) return Err('unsent');
    if (call.kind === 'membership') return Ok({ kind: 'membership', entries: this.membershipList });
    const outcomes = call.operations.map(() => ({ kind: 'row', row: undefined }) as const);
    return Ok({ kind: 'tables', outcomes });
  }

  private scheduleListUpdate(): void {
    this.timers.schedule(this.nowMs + LIST_UPDATE_DELAY_MS, () => {
      if (this.membershipList === undefined) return;
      this.membershipList = [...this.members.values()]
        .filter(({ state }) => state !== 'stopped')
        .map(({ vm }) => ({ vm, state: 'live' }));
    });
  }
}
