import type { EntryVm, EntryVmId, MemberFact, MonotonicMs } from '@savorywind/model';
import { FORGET_MS, MAX_FORGOTTEN, MAX_MEMBERS } from './consts.js';
import { hashText } from './rendezvous.js';

/** Another entry VM, as far as this one knows. */
export interface Member {
  vm: EntryVm;
  state: MemberFact['state'];
  /** The platform lists the VM as leaving, without saying which incarnation. */
  listedLeaving: boolean;
  configurationVersion: number;
  /** When a list, a peer or the member itself last spoke of it. */
  mentionedAtMs: MonotonicMs;
}

/** Incarnation of an entry VM in a list that does not know it. */
export const UNKNOWN_INCARNATION = 0;

const mixFact = (digest: number, { vm, state }: MemberFact): number =>
  // eslint-disable-next-line no-bitwise
  digest ^ hashText(`${vm.id}|${vm.incarnation}|${state}`);

/**
 * All entry VMs that are known. Facts only rise: a higher incarnation replaces a lower one, and
 * within an incarnation `leaving` replaces `live`. So every entry VM ends with the same facts, in
 * whatever order it hears them.
 */
export class MemberTable {
  private readonly members = new Map<EntryVmId, Member>();

  private readonly forgotten = new Map<EntryVmId, number>();

  private changes = 0;

  /** Digest of the other members' facts at a version. */
  private digest: { readonly version: number; readonly value: number } | undefined;

  constructor(private readonly self: EntryVm) {}

  /** Rises whenever something is known that was not known before. */
  get version(): number {
    return this.changes;
  }

  get size(): number {
    return this.members.size;
  }

  find(id: EntryVmId): Member | undefined {
    return this.members.get(id);
  }

  list(): Member[] {
    return [...this.members.values()];
  }

  listFacts(): MemberFact[] {
    return this.list()
      .filter(({ vm }) => vm.incarnation !== UNKNOWN_INCARNATION)
      .map(({ vm, state }) => ({ vm, state }));
  }

  /** @returns whether the fact was news */
  accept(fact: MemberFact, nowMs: MonotonicMs): boolean {
    const isNews = this.merge(fact, nowMs);
    if (isNews) this.changes += 1;
    return isNews;
  }

  /** Takes an entry of the platform's list. @returns whether it was news */
  acceptListed(fact: MemberFact, nowMs: MonotonicMs): boolean {
    const isUnknownLife = fact.vm.incarnation === UNKNOWN_INCARNATION;
    const news = this.accept(isUnknownLife ? { ...fact, state: 'live' } : fact, nowMs);
    const member = this.members.get(fact.vm.id);
    if (!isUnknownLife || member === undefined) return news;
    const isLeaving = fact.state === 'leaving';
    const changed = member.listedLeaving !== isLeaving;
    member.listedLeaving = isLeaving;
    if (changed) this.changes += 1;
    return news || changed;
  }

  /** The member itself was heard, so old news of its end is void. */
  acceptSelfReport(fact: MemberFact, version: number, nowMs: MonotonicMs): boolean {
    this.forgotten.delete(fact.vm.id);
    const news = this.accept(fact, nowMs);
    const member = this.members.get(fact.vm.id);
    if (member?.vm.incarnation === fact.vm.incarnation) member.configurationVersion = version;
    return news;
  }

  /** Drops members that nobody has spoken of for long. @returns those that were dropped */
  forgetUnmentioned(nowMs: MonotonicMs, isLinked: (id: EntryVmId) => boolean): EntryVm[] {
    const gone = this.list().filter(
      ({ vm, mentionedAtMs }) => nowMs - mentionedAtMs >= FORGET_MS && !isLinked(vm.id),
    );
    gone.forEach(({ vm }) => this.forget(vm));
    this.changes += gone.length;
    return gone.map(({ vm }) => vm);
  }

  /** Digest of all facts, the one of this entry VM included; it does not depend on their order. */
  hashFacts(ownFact: MemberFact): number {
    if (this.digest?.version !== this.changes) {
      const value = this.listFacts().reduce((sum, fact) => mixFact(sum, fact), 0);
      this.digest = { version: this.changes, value };
    }
    return mixFact(this.digest.value, ownFact);
  }

  private merge(fact: MemberFact, nowMs: MonotonicMs): boolean {
    if (fact.vm.id === this.self.id) return false;
    const known = this.members.get(fact.vm.id);
    if (known === undefined) return this.add(fact, nowMs);
    known.mentionedAtMs = nowMs;
    if (fact.vm.incarnation < known.vm.incarnation) return false;
    const isNewer = fact.vm.incarnation > known.vm.incarnation;
    if (!isNewer && (known.state === 'leaving' || fact.state === 'live')) return false;
    known.vm = fact.vm;
    known.state = fact.state;
    if (isNewer) known.configurationVersion = 0;
    return true;
  }

  private add(fact: MemberFact, nowMs: MonotonicMs): boolean {
    const forgotten = this.forgotten.get(fact.vm.id);
    if (forgotten !== undefined && fact.vm.incarnation <= forgotten) return false;
    if (this.members.size >= MAX_MEMBERS) return false;
    this.members.set(fact.vm.id, {
      ...fact,
      listedLeaving: false,
      configurationVersion: 0,
      mentionedAtMs: nowMs,
    });
    return true;
  }

  private forget(vm: EntryVm): void {
    this.members.delete(vm.id);
    if (vm.incarnation === UNKNOWN_INCARNATION) return;
    this.forgotten.set(vm.id, vm.incarnation);
    const [oldest] = this.forgotten.keys();
    if (this.forgotten.size > MAX_FORGOTTEN && oldest !== undefined) this.forgotten.delete(oldest);
  }
}
