import type { EntryVm, EntryVmId, MemberRecord, MonotonicMs } from '@savorywind/model';
import { MEMBER_EXPIRY_MS, MAX_TOMBSTONES, MAX_MEMBERS } from './consts.js';
import { hashText } from './rendezvous.js';

/** What this entry VM knows about another one. */
export interface Member {
  vm: EntryVm;
  state: MemberRecord['state'];
  /** Whether the platform lists the VM as leaving without naming its incarnation. */
  isListedLeaving: boolean;
  configurationVersion: number;
  /** Time of the last list entry, record or hello message for this member. */
  lastSeenAtMs: MonotonicMs;
}

/** Incarnation in entries of a list that does not name incarnations. */
export const UNKNOWN_INCARNATION = 0;

const addToDigest = (digest: number, { vm, state }: MemberRecord): number =>
  // eslint-disable-next-line no-bitwise
  digest ^ hashText(`${vm.id}|${vm.incarnation}|${state}`);

/**
 * All other known entry VMs. Records are merged monotonically: a higher incarnation replaces a lower
 * one, and within an incarnation `leaving` replaces `live`. All entry VMs therefore converge to the
 * same records, whatever the order in which they receive them.
 */
export class MemberTable {
  private readonly members = new Map<EntryVmId, Member>();

  /** Last known incarnations of removed members; records that are not newer are ignored. */
  private readonly tombstones = new Map<EntryVmId, number>();

  private changeCount = 0;

  /** Cached digest of the other members' records, with the table version it belongs to. */
  private digest: { readonly version: number; readonly value: number } | undefined;

  constructor(private readonly self: EntryVm) {}

  /** Incremented with each change of the table. */
  get version(): number {
    return this.changeCount;
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

  listRecords(): MemberRecord[] {
    return this.list()
      .filter(({ vm }) => vm.incarnation !== UNKNOWN_INCARNATION)
      .map(({ vm, state }) => ({ vm, state }));
  }

  /** Merges the record of a member. @returns whether the table changed */
  applyRecord(record: MemberRecord, nowMs: MonotonicMs): boolean {
    const isChanged = this.merge(record, nowMs);
    if (isChanged) this.changeCount += 1;
    return isChanged;
  }

  /** Merges an entry of the platform's list. @returns whether the table changed */
  applyListed(record: MemberRecord, nowMs: MonotonicMs): boolean {
    const isUnknownIncarnation = record.vm.incarnation === UNKNOWN_INCARNATION;
    const isChanged = this.applyRecord(
      isUnknownIncarnation ? { ...record, state: 'live' } : record,
      nowMs,
    );
    const member = this.members.get(record.vm.id);
    if (!isUnknownIncarnation || member === undefined) return isChanged;
    const isLeaving = record.state === 'leaving';
    const hasListedStateChanged = member.isListedLeaving !== isLeaving;
    member.isListedLeaving = isLeaving;
    if (hasListedStateChanged) this.changeCount += 1;
    return isChanged || hasListedStateChanged;
  }

  /**
   * Merges a record that the member itself sent. It proves that the incarnation is running, so its
   * tombstone is removed.
   *
   * @returns whether the table changed
   */
  applySelfReport(record: MemberRecord, version: number, nowMs: MonotonicMs): boolean {
    this.tombstones.delete(record.vm.id);
    const isChanged = this.applyRecord(record, nowMs);
    const member = this.members.get(record.vm.id);
    if (member?.vm.incarnation === record.vm.incarnation) member.configurationVersion = version;
    return isChanged;
  }

  /**
   * Removes members without a link that nothing has named for `MEMBER_EXPIRY_MS`, and keeps a
   * tombstone of each.
   *
   * @returns the removed members
   */
  expireMembers(nowMs: MonotonicMs, isLinked: (id: EntryVmId) => boolean): EntryVm[] {
    const expired = this.list().filter(
      ({ vm, lastSeenAtMs }) => nowMs - lastSeenAtMs >= MEMBER_EXPIRY_MS && !isLinked(vm.id),
    );
    expired.forEach(({ vm }) => this.removeMember(vm));
    this.changeCount += expired.length;
    return expired.map(({ vm }) => vm);
  }

  /** Returns a digest of all records, including that of this entry VM, independent of their order. */
  hashRecords(ownRecord: MemberRecord): number {
    if (this.digest?.version !== this.changeCount) {
      const value = this.listRecords().reduce((sum, record) => addToDigest(sum, record), 0);
      this.digest = { version: this.changeCount, value };
    }
    return addToDigest(this.digest.value, ownRecord);
  }

  private merge(record: MemberRecord, nowMs: MonotonicMs): boolean {
    if (record.vm.id === this.self.id) return false;
    const known = this.members.get(record.vm.id);
    if (known === undefined) return this.add(record, nowMs);
    known.lastSeenAtMs = nowMs;
    if (record.vm.incarnation < known.vm.incarnation) return false;
    const isNewer = record.vm.incarnation > known.vm.incarnation;
    if (!isNewer && (known.state === 'leaving' || record.state === 'live')) return false;
    known.vm = record.vm;
    known.state = record.state;
    if (isNewer) known.configurationVersion = 0;
    return true;
  }

  private add(record: MemberRecord, nowMs: MonotonicMs): boolean {
    const removedIncarnation = this.tombstones.get(record.vm.id);
    if (removedIncarnation !== undefined && record.vm.incarnation <= removedIncarnation)
      return false;
    if (this.members.size >= MAX_MEMBERS) return false;
    this.members.set(record.vm.id, {
      ...record,
      isListedLeaving: false,
      configurationVersion: 0,
      lastSeenAtMs: nowMs,
    });
    return true;
  }

  private removeMember(vm: EntryVm): void {
    this.members.delete(vm.id);
    if (vm.incarnation === UNKNOWN_INCARNATION) return;
    this.tombstones.set(vm.id, vm.incarnation);
    const [oldest] = this.tombstones.keys();
    if (this.tombstones.size > MAX_TOMBSTONES && oldest !== undefined)
      this.tombstones.delete(oldest);
  }
}
