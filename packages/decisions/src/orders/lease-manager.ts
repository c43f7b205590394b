import {
  logEvents,
  tables,
  type MonotonicMs,
  type PlatformFailure,
  type PlatformReply,
  type Result,
  type Revision,
  type Row,
  type TableOperation,
  type TableOutcome,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import { callPlatformWithTimeout } from '../context/call-platform-with-timeout.js';
import type { NodeContext } from '../context/node-context.js';
import {
  CLOCK_DRIFT_MARGIN,
  LEASE_CANDIDATES,
  LEASE_MS,
  LEASE_REPLY_TIMEOUT_MS,
  MAX_LEASE_INTERVAL_MS,
  MIN_LEASE_INTERVAL_MS,
} from './consts.js';
import type { LeaseRow, LeaseView } from './types.js';

/** The lease that this entry VM holds, as far as it knows. */
interface HeldLease {
  readonly fencing: number;
  readonly acquiredAtMs: MonotonicMs;
  readonly expiresAtMs: MonotonicMs;
}

/** The lease row as last read, and when this revision was first read. */
interface ObservedRow {
  readonly revision: Revision;
  readonly value: LeaseRow;
  readonly observedAtMs: MonotonicMs;
}

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  /** Whether any engine of this failure domain has a declared placement. */
  readonly isNeeded: () => boolean;
  readonly onAcquired: () => void;
}

/**
 * Takes and renews the lease for placement orders in one failure domain. The holder counts the
 * lease from the time it sent the request. Candidates count the lease plus a margin from the time
 * they first read the current revision of the row. The holder therefore stops before another one
 * starts, without any comparison of clocks.
 */
export class LeaseManager {
  private heldLease: HeldLease | undefined;

  private observed: ObservedRow | undefined;

  private highestSeenFencing = 0;

  private isLeaving = false;

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.scheduleRound();
  }

  /** Fencing number of the lease; undefined if this entry VM does not hold it now. */
  get fencing(): number | undefined {
    const { context } = this.dependencies;
    if (this.heldLease === undefined || this.isLeaving) return undefined;
    return context.nowMs < this.heldLease.expiresAtMs ? this.heldLease.fencing : undefined;
  }

  /** When this entry VM took the lease; undefined if it does not hold it now. */
  get acquiredAtMs(): MonotonicMs | undefined {
    return this.fencing === undefined ? undefined : this.heldLease?.acquiredAtMs;
  }

  get view(): LeaseView {
    return { held: this.fencing !== undefined, fencing: this.fencing };
  }

  /**
   * Records a fencing number that an engine has seen. A higher one than that of the held lease
   * means that another entry VM holds the lease, or that the table service was reset to an older
   * state. The lease is then dropped; the next round reads the row, and a new lease gets a number
   * above it.
   */
  recordSeenFencing(seen: number): void {
    if (this.heldLease === undefined || seen <= this.heldLease.fencing) return;
    this.highestSeenFencing = Math.max(this.highestSeenFencing, seen);
    this.recordLeaseLost();
  }

  /** Releases the lease, so that the next holder does not have to wait for its expiry. */
  release(): void {
    const { fencing, observed } = this;
    this.isLeaving = true;
    this.heldLease = undefined;
    if (fencing === undefined || observed === undefined) return;
    const value = { ...observed.value, released: true };
    this.callTable(LeaseManager.buildReplace(this.key, value, observed.revision), () => {});
  }

  private get key(): string {
    return `orders/${this.dependencies.context.self.failureDomain}`;
  }

  private scheduleRound(): void {
    const { context, isNeeded } = this.dependencies;
    if (!isNeeded()) {
      context.schedule(MAX_LEASE_INTERVAL_MS, () => this.runRound());
      return;
    }
    const jitterMs = MAX_LEASE_INTERVAL_MS - MIN_LEASE_INTERVAL_MS;
    context.schedule(MIN_LEASE_INTERVAL_MS + context.drawRandom() * jitterMs, () =>
      this.runRound(),
    );
  }

  private runRound(): void {
    if (this.isLeaving) return;
    this.scheduleRound();
    if (this.fencing === undefined) this.recordLeaseLost();
    if (!this.dependencies.isNeeded()) return;
    if (this.fencing === undefined && !this.isCandidate()) return;
    const operation = { kind: 'get', table: tables.leases, key: this.key } as const;
    this.callTable(operation, (outcome) => {
      if (outcome?.kind === 'row') this.handleRow(outcome.row);
    });
  }

  /**
   * Whether this entry VM is one of the first `LEASE_CANDIDATES` live ones of its failure domain, in
   * the order of their ids.
   */
  private isCandidate(): boolean {
    const { context, membership } = this.dependencies;
    const { id, failureDomain } = context.self;
    const ids = membership
      .listLive()
      .filter((vm) => vm.failureDomain === failureDomain)
      .map((vm) => vm.id)
      .sort();
    return ids.slice(0, LEASE_CANDIDATES).includes(id);
  }

  private handleRow(row: Row | undefined): void {
    if (this.isLeaving) return;
    if (row === undefined) {
      this.takeLease(undefined);
      return;
    }
    this.recordObserved(row);
    const { observed } = this;
    if (observed === undefined) return;
    const { value } = observed;
    if (this.isOwn(value) && value.fencing >= this.highestSeenFencing) this.renew(observed);
    else if (this.isOwn(value)) this.takeLease(observed);
    else if (this.hasExpired(observed)) this.takeLease(observed);
    else this.recordLeaseLost();
  }

  private recordObserved(row: Row): void {
    if (this.observed?.revision === row.revision) return;
    const { nowMs } = this.dependencies.context;
    const { revision } = row;
    this.observed = { revision, value: row.value as LeaseRow, observedAtMs: nowMs };
  }

  private isOwn({ holder, incarnation, released }: LeaseRow): boolean {
    const { self } = this.dependencies.context;
    return holder === self.id && incarnation === self.incarnation && !released;
  }

  private hasExpired({ value, observedAtMs }: ObservedRow): boolean {
    if (value.released) return true;
    return this.dependencies.context.nowMs - observedAtMs >= LEASE_MS * (1 + CLOCK_DRIFT_MARGIN);
  }

  private renew({ value, revision }: ObservedRow): void {
    const next = { ...value, renewal: value.renewal + 1 };
    this.writeLease(next, LeaseManager.buildReplace(this.key, next, revision));
  }

  private takeLease(previous: ObservedRow | undefined): void {
    const { self } = this.dependencies.context;
    const next: LeaseRow = {
      holder: self.id,
      incarnation: self.incarnation,
      fencing: Math.max(previous?.value.fencing ?? 0, this.highestSeenFencing) + 1,
      renewal: 0,
      released: false,
    };
    const target = { table: tables.leases, key: this.key, value: next };
    const operation: TableOperation =
      previous === undefined
        ? { kind: 'insert', ...target }
        : { kind: 'replace', ...target, revision: previous.revision };
    this.writeLease(next, operation);
  }

  private writeLease(value: LeaseRow, operation: TableOperation): void {
    const sentAtMs = this.dependencies.context.nowMs;
    this.callTable(operation, (outcome) => {
      if (outcome?.kind === 'written') this.handleWritten(value, outcome.row, sentAtMs);
      // A conflict ends the lease. Without a reply it expires unless the next round renews it.
      else if (outcome !== undefined) this.recordLeaseLost();
    });
  }

  private handleWritten({ fencing }: LeaseRow, row: Row, sentAtMs: MonotonicMs): void {
    if (this.isLeaving) return;
    const { context, onAcquired } = this.dependencies;
    this.recordObserved(row);
    const expiresAtMs = sentAtMs + LEASE_MS;
    const isNew = this.heldLease?.fencing !== fencing;
    const acquiredAtMs = isNew ? context.nowMs : (this.heldLease?.acquiredAtMs ?? context.nowMs);
    this.heldLease = { fencing, acquiredAtMs, expiresAtMs };
    if (!isNew || context.nowMs >= expiresAtMs) return;
    context.log(logEvents.leaseTaken, { lease: this.key, fencing });
    onAcquired();
  }

  private recordLeaseLost(): void {
    if (this.heldLease === undefined) return;
    const { fencing } = this.heldLease;
    this.heldLease = undefined;
    this.dependencies.context.log(logEvents.leaseLost, { lease: this.key, fencing });
  }

  private static buildReplace(key: string, value: LeaseRow, revision: Revision): TableOperation {
    return { kind: 'replace', table: tables.leases, key, value, revision };
  }

  private callTable(
    operation: TableOperation,
    listener: (outcome: TableOutcome | undefined) => void,
  ): void {
    const call = { kind: 'tables', operations: [operation] } as const;
    const onReplied = (reply: Result<PlatformReply, PlatformFailure>): void =>
      listener(reply.ok && reply.val.kind === 'tables' ? reply.val.outcomes[0] : undefined);
    callPlatformWithTimeout(this.dependencies.context, call, LEASE_REPLY_TIMEOUT_MS, onReplied);
  }
}
