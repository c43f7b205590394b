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
import { createRandomSource } from '../world/random.js';
import { ClusterMember } from './cluster-member.js';

const DELAY_MS = 1;
const DIAL_GRACE_MS = 1_500;
const REDIAL_MIN_MS = 100;
const REDIAL_MAX_MS = 2_000;
const LIST_LAG_MS = 2_000;

/** Stands for the platform in the set of places that can be cut off from each other. */
export const PLATFORM = 'platform';

type EffectOf<Kind extends NodeEffect['kind']> = Extract<NodeEffect, { readonly kind: Kind }>;

type Handlers = {
  readonly [Kind in NodeEffect['kind']]?: (member: ClusterMember, effect: EffectOf<Kind>) => void;
};

/**
 * Many entry VMs with nothing but links and the platform's list between them, on a clock of its own
 * that jumps from event to event: shows how membership behaves and what it costs at full size.
 */
export class MemberCluster {
  readonly members = new Map<EntryVmId, ClusterMember>();

  /** What the platform's list says; undefined while the platform is down. */
  list: readonly MembershipEntry[] | undefined = [];

  private nowMs = 0;

  private nextIncarnation = 1;

  private readonly timers = new TimerQueue();

  private readonly cuts = new Set<string>();

  private readonly random;

  private readonly handlers: Handlers = {
    'link.open': (member, { vm }) => this.openLink(member, vm),
    'link.close': (member, { peer }) => this.closeLink(member, peer),
    'link.send': (member, effect) => this.sendMessage(member, effect),
    log: (member, { event }) => {
      member.logged.push(event.name);
    },
    'platform.call': (member, { callId, call }) => this.callPlatform(member, callId, call),
  };

  constructor(private readonly seed: number) {
    this.random = createRandomSource(seed);
  }

  /** Starts an entry VM, or its next incarnation. */
  start(id: EntryVmId, failureDomain: FailureDomainId): ClusterMember {
    const incarnation = this.nextIncarnation;
    this.nextIncarnation += 1;
    const vm: EntryVm = { id, incarnation, failureDomain, link: { host: id, port: 1 } };
    const member = new ClusterMember(vm, this.seed * 1_000 + incarnation, (own, effect) =>
      this.carryOut(own, effect),
    );
    this.members.set(id, member);
    this.updateListLater();
    this.timers.schedule(this.nowMs, () => this.deliver(member, { kind: 'started' }));
    return member;
  }

  kill(id: EntryVmId): void {
    const member = this.find(id);
    member.life = 'dead';
    [...member.linked.keys()].forEach((peer) => this.breakLink(id, peer));
    this.updateListLater();
  }

  freeze(id: EntryVmId): void {
    this.find(id).life = 'frozen';
  }

  wake(id: EntryVmId): void {
    const member = this.find(id);
    member.wake(this.nowMs);
    this.armWake(member);
  }

  drain(id: EntryVmId): void {
    this.deliver(this.find(id), { kind: 'drainRequested' });
  }

  /** Cuts two places off from each other: failure domains, or one and the platform. */
  cut(a: string, b: string): void {
    this.cuts.add(`${a}|${b}`);
    this.cuts.add(`${b}|${a}`);
    this.members.forEach((member) => {
      [...member.linked.keys()]
        .filter((peer) => !this.isReachable(member, peer))
        .forEach((peer) => this.breakLink(member.vm.id, peer));
    });
  }

  healAll(): void {
    this.cuts.clear();
  }

  /** Lets time pass. */
  advance(ms: number): void {
    const untilMs = this.nowMs + ms;
    for (;;) {
      const dueMs = this.timers.nextDueMs();
      if (dueMs === undefined || dueMs > untilMs) break;
      this.nowMs = Math.max(this.nowMs, dueMs);
      this.timers.runDue(this.nowMs);
    }
    this.nowMs = untilMs;
  }

  listRunning(): ClusterMember[] {
    return [...this.members.values()].filter(({ life }) => life === 'running');
  }

  find(id: EntryVmId): ClusterMember {
    const member = this.members.get(id);
    if (member === undefined) throw new Error(`no entry VM ${id}`);
    return member;
  }

  private deliver(member: ClusterMember, event: NodeEvent): void {
    member.handle(event, this.nowMs);
    this.armWake(member);
  }

  private armWake(member: ClusterMember): void {
    const wakeMs = member.nextWakeMs();
    if (wakeMs === undefined || member.life !== 'running') return;
    if (member.wakeAtMs !== undefined && member.wakeAtMs <= wakeMs) return;
    member.wakeAtMs = wakeMs;
    this.timers.schedule(wakeMs, () => {
      if (member.wakeAtMs === wakeMs) member.wakeAtMs = undefined;
      if (member.life === 'running') this.deliver(member, { kind: 'woken' });
    });
  }

  private carryOut(member: ClusterMember, effect: NodeEffect): void {
    const handler = this.handlers[effect.kind] as
      ((own: ClusterMember, given: NodeEffect) => void) | undefined;
    handler?.(member, effect);
  }

  private isReachable(member: ClusterMember, peer: EntryVmId): boolean {
    const far = this.members.get(peer)?.vm.failureDomain ?? '';
    return !this.cuts.has(`${member.vm.failureDomain}|${far}`);
  }

  private openLink(member: ClusterMember, vm: EntryVm): void {
    const isNew = !member.wanted.has(vm.id);
    member.wanted.set(vm.id, vm);
    if (isNew) this.dialLater(member, vm.id, DELAY_MS);
  }

  private dialLater(member: ClusterMember, peer: EntryVmId, delayMs: number): void {
    const graceMs = member.vm.id < peer ? 0 : DIAL_GRACE_MS;
    this.timers.schedule(this.nowMs + delayMs + graceMs, () => this.dial(member, peer));
  }

  private dial(member: ClusterMember, peer: EntryVmId): void {
    const far = this.members.get(peer);
    const isDone = member.life === 'dead' || member.linked.has(peer) || !member.wanted.has(peer);
    if (isDone) return;
    const isUp = member.life === 'running' && far?.life === 'running';
    if (!isUp || !this.isReachable(member, peer)) {
      this.dialLater(member, peer, this.random.drawBetween(REDIAL_MIN_MS, REDIAL_MAX_MS));
      return;
    }
    member.linked.set(peer, new FrameCodec());
    far.linked.set(member.vm.id, new FrameCodec());
    this.deliver(member, { kind: 'link.opened', peer });
    this.deliver(far, { kind: 'link.opened', peer: member.vm.id });
  }

  private closeLink(member: ClusterMember, peer: EntryVmId): void {
    member.wanted.delete(peer);
    this.timers.schedule(this.nowMs, () => this.breakLink(member.vm.id, peer));
  }

  private breakLink(a: EntryVmId, b: EntryVmId): void {
    [
      [a, b],
      [b, a],
    ].forEach(([near = '', far = '']) => {
      const member = this.members.get(near);
      if (member?.linked.delete(far) !== true) return;
      this.deliver(member, { kind: 'link.closed', peer: far });
      if (member.wanted.has(far)) {
        this.dialLater(member, far, this.random.drawBetween(REDIAL_MIN_MS, REDIAL_MAX_MS));
      }
    });
  }

  private sendMessage(member: ClusterMember, { peer, message }: EffectOf<'link.send'>): void {
    const frame = member.encode(peer, message);
    const far = this.members.get(peer);
    if (frame === undefined || far === undefined) return;
    const link = member.linked.get(peer);
    this.timers.schedule(this.nowMs + DELAY_MS, () => {
      if (member.linked.get(peer) !== link || far.life === 'dead') return;
      const received = far.decode(member.vm.id, frame);
      if (received === undefined) return;
      this.deliver(far, { kind: 'link.received', peer: member.vm.id, message: received });
    });
  }

  private callPlatform(member: ClusterMember, callId: number, call: PlatformCall): void {
    const isReachable = !this.cuts.has(`${member.vm.failureDomain}|${PLATFORM}`);
    if (call.kind === 'membership' && isReachable) {
      member.cost.listBytes += JSON.stringify(this.list ?? []).length;
    }
    const reply = isReachable ? this.answer(call) : Err('unsent' as const);
    this.timers.schedule(this.nowMs + DELAY_MS, () =>
      this.deliver(member, { kind: 'platform.replied', callId, reply }),
    );
  }

  private answer(call: PlatformCall): Result<PlatformReply, PlatformFailure> {
    if (this.list === undefined) return Err('unsent');
    if (call.kind === 'membership') return Ok({ kind: 'membership', entries: this.list });
    const outcomes = call.operations.map(() => ({ kind: 'row', row: undefined }) as const);
    return Ok({ kind: 'tables', outcomes });
  }

  private updateListLater(): void {
    this.timers.schedule(this.nowMs + LIST_LAG_MS, () => {
      if (this.list === undefined) return;
      this.list = [...this.members.values()]
        .filter(({ life }) => life !== 'dead')
        .map(({ vm }) => ({ vm, state: 'live' }));
    });
  }
}
