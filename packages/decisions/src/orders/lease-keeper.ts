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
import { callPlatformWithin } from '../seam/call-platform-within.js';
import type { NodeContext } from '../seam/node-context.js';
import {
  CLOCK_RATE_MARGIN,
  LEASE_CANDIDATES,
  LEASE_MS,
  LEASE_REPLY_LIMIT_MS,
  LEASE_ROUND_MAX_MS,
  LEASE_ROUND_MIN_MS,
} from './consts.js';
import type { LeaseRow, LeaseView } from './types.js';

/** A lease that this entry VM holds, as far as it knows. */
interface Holding {
  readonly fencing: number;
  readonly takenAtMs: MonotonicMs;
  readonly untilMs: MonotonicMs;
}

/** The row as it was last seen, and since when it has not changed. */
interface Observation {
  readonly revision: Revision;
  readonly value: LeaseRow;
  readonly sinceMs: MonotonicMs;
}

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  /** Whether there is anything to order in this failure domain. */
  readonly isNeeded: () => boolean;
  readonly onTaken: () => void;
}

/**
 * Holds the lease for orders in one failure domain. The holder counts its time from when it sent
 * the request; everybody else waits for the whole time, and a margin, from when they first read the
 * row as it is. So the holder stops before anybody else starts, whatever their clocks show.
 */
export class LeaseKeeper {
  private holding: Holding | undefined;

  private observed: Observation | undefined;

  private highestSeen = 0;

  private leaving = false;

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.scheduleRound();
  }

  /** The fencing number, if the lease is held at this moment. */
  get fencing(): number | undefined {
    const { context } = this.dependencies;
    if (this.holding === undefined || this.leaving) return undefined;
    return context.nowMs < this.holding.untilMs ? this.holding.fencing : undefined;
  }

  /** When this entry VM took the lease that it holds. */
  get takenAtMs(): MonotonicMs | undefined {
    return this.fencing === undefined ? undefined : this.holding?.takenAtMs;
  }

  get view(): LeaseView {
    return { held: this.fencing !== undefined, fencing: this.fencing };
  }

  /**
   * An engine has seen a higher fencing number: somebody else holds the lease, or the table service
   * was set back. The next round tells; a lease that is taken again goes above that number.
   */
  acceptSeenFencing(seen: number): void {
    if (this.holding === undefined || seen <= this.holding.fencing) return;
    this.highestSeen = Math.max(this.highestSeen, seen);
    this.drop();
  }

  /** Gives the lease back, so that the next holder need not wait. */
  release(): void {
    const { fencing, observed } = this;
    this.leaving = true;
    this.holding = undefined;
    if (fencing === undefined || observed === undefined) return;
    const value = { ...observed.value, released: true };
    this.write(LeaseKeeper.describeReplace(this.key, value, observed.revision), () => {});
  }

  private get key(): string {
    return `orders/${this.dependencies.context.self.failureDomain}`;
  }

  private scheduleRound(): void {
    const { context, isNeeded } = this.dependencies;
    if (!isNeeded()) {
      context.schedule(LEASE_ROUND_MAX_MS, () => this.runRound());
      return;
    }
    const spreadMs = LEASE_ROUND_MAX_MS - LEASE_ROUND_MIN_MS;
    context.schedule(LEASE_ROUND_MIN_MS + context.drawRandom() * spreadMs, () => this.runRound());
  }

  private runRound(): void {
    if (this.leaving) return;
    this.scheduleRound();
    if (this.fencing === undefined) this.drop();
    if (!this.dependencies.isNeeded()) return;
    if (this.fencing === undefined && !this.isCandidate()) return;
    const operation = { kind: 'get', table: tables.leases, key: this.key } as const;
    this.write(operation, (outcome) => {
      if (outcome?.kind === 'row') this.acceptRow(outcome.row);
    });
  }

  /** The first of the live entry VMs of the failure domain, by name. */
  private isCandidate(): boolean {
    const { context, membership } = this.dependencies;
    const { id, failureDomain } = context.self;
    const names = membership
      .listLive()
      .filter((vm) => vm.failureDomain === failureDomain)
      .map((vm) => vm.id)
      .sort();
    return names.slice(0, LEASE_CANDIDATES).includes(id);
  }

  private acceptRow(row: Row | undefined): void {
    if (this.leaving) return;
    if (row === undefined) {
      this.take(undefined);
      return;
    }
    this.observe(row);
    const { observed } = this;
    if (observed === undefined) return;
    const { value } = observed;
    if (this.isOwn(value) && value.fencing >= this.highestSeen) this.renew(observed);
    else if (this.isOwn(value)) this.take(observed);
    else if (this.hasLapsed(observed)) this.take(observed);
    else this.drop();
  }

  private observe(row: Row): void {
    if (this.observed?.revision === row.revision) return;
    const { nowMs } = this.dependencies.context;
    const { revision } = row;
    this.observed = { revision, value: row.value as LeaseRow, sinceMs: nowMs };
  }

  private isOwn({ holder, incarnation, released }: LeaseRow): boolean {
    const { self } = this.dependencies.context;
    return holder === self.id && incarnation === self.incarnation && !released;
  }

  private hasLapsed({ value, sinceMs }: Observation): boolean {
    if (value.released) return true;
    return this.dependencies.context.nowMs - sinceMs >= LEASE_MS * (1 + CLOCK_RATE_MARGIN);
  }

  private renew({ value, revision }: Observation): void {
    const next = { ...value, renewal: value.renewal + 1 };
    this.writeLease(next, LeaseKeeper.describeReplace(this.key, next, revision));
  }

  private take(found: Observation | undefined): void {
    const { self } = this.dependencies.context;
    const next: LeaseRow = {
      holder: self.id,
      incarnation: self.incarnation,
      fencing: Math.max(found?.value.fencing ?? 0, this.highestSeen) + 1,
      renewal: 0,
      released: false,
    };
    const place = { table: tables.leases, key: this.key, value: next };
    const operation: TableOperation =
      found === undefined
        ? { kind: 'insert', ...place }
        : { kind: 'replace', ...place, revision: found.revision };
    this.writeLease(next, operation);
  }

  private writeLease(value: LeaseRow, operation: TableOperation): void {
    const sentAtMs = this.dependencies.context.nowMs;
    this.write(operation, (outcome) => {
      if (outcome?.kind === 'written') this.acceptWritten(value, outcome.row, sentAtMs);
      // A lost race drops the lease; a lost answer leaves it to run out, and the next round reads.
      else if (outcome !== undefined) this.drop();
    });
  }

  private acceptWritten({ fencing }: LeaseRow, row: Row, sentAtMs: MonotonicMs): void {
    if (this.leaving) return;
    const { context, onTaken } = this.dependencies;
    this.observe(row);
    const untilMs = sentAtMs + LEASE_MS;
    const isNew = this.holding?.fencing !== fencing;
    const takenAtMs = isNew ? context.nowMs : (this.holding?.takenAtMs ?? context.nowMs);
    this.holding = { fencing, takenAtMs, untilMs };
    if (!isNew || context.nowMs >= untilMs) return;
    context.log(logEvents.leaseTaken, { lease: this.key, fencing });
    onTaken();
  }

  private drop(): void {
    if (this.holding === undefined) return;
    const { fencing } = this.holding;
    this.holding = undefined;
    this.dependencies.context.log(logEvents.leaseLost, { lease: this.key, fencing });
  }

  private static describeReplace(key: string, value: LeaseRow, revision: Revision): TableOperation {
    return { kind: 'replace', table: tables.leases, key, value, revision };
  }

  private write(
    operation: TableOperation,
    listener: (outcome: TableOutcome | undefined) => void,
  ): void {
    const call = { kind: 'tables', operations: [operation] } as const;
    const accept = (reply: Result<PlatformReply, PlatformFailure>): void =>
      listener(reply.ok && reply.val.kind === 'tables' ? reply.val.outcomes[0] : undefined);
    callPlatformWithin(this.dependencies.context, call, LEASE_REPLY_LIMIT_MS, accept);
  }
}
