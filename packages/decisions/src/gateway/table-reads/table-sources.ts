import type { EntryVmId, GatewayPeer, MonotonicMs } from '@savorywind/model';
import { rankOwners } from '../../membership/rendezvous.js';
import type { Timer } from '../../timers/timer-queue.js';
import type { GatewayContext } from '../gateway-context.js';
import type { PeerTable } from '../peer-table.js';

/**
 * Where an entry VM reads the tables of the store, and what it does for its peers. `serves`: it reads the
 * store and passes on what it reads. `standsBy`: it does so as soon as a peer asks it.
 */
export interface TableSource {
  /** The peer that passes on what it reads; undefined if this entry VM reads the store itself. */
  readonly peer: GatewayPeer | undefined;
  readonly role: 'serves' | 'standsBy' | 'none';
}

/** What is known of a peer that failed as a source. */
interface Exclusion {
  readonly failures: number;
  readonly untilMs: MonotonicMs;
}

export interface TableSourcesOptions {
  readonly context: GatewayContext;
  readonly self: GatewayPeer;
  readonly peers: PeerTable;
}

/** Fewest entry VMs of a failure domain of which one reads the store for the others. */
const MIN_SHARING_VMS = 4;

/** Peers that are asked, the best one first, before an entry VM reads the store itself. */
const MAX_SOURCES = 2;

/** Interval at which the source is decided again, in milliseconds. */
const REVIEW_INTERVAL_MS = 500;

/** A peer that failed is not asked again for this time, which doubles with each failure, in milliseconds. */
const FIRST_EXCLUSION_MS = 1_000;

/** Longest time for which a peer that failed is not asked, in milliseconds. */
const MAX_EXCLUSION_MS = 8_000;

/** An entry VM that stands by reads the store for this time after it was asked, in milliseconds. */
const ASKED_MEMORY_MS = 10_000;

/** A failure this long after the end of the last exclusion counts as the first one, in milliseconds. */
const FAILURE_MEMORY_MS = 30_000;

const STORE_ALONE: TableSource = { peer: undefined, role: 'none' };

const isSame = (a: TableSource, b: TableSource): boolean =>
  a.peer?.id === b.peer?.id && a.role === b.role;

/**
 * Decides who of a failure domain reads the store for the others, for a load of many entry VMs that would
 * all ask the same questions. Each entry VM ranks those of its domain that it hears, by rendezvous hashing:
 * the first one reads, the second one stands by, and the others ask these two, and the store itself only if
 * both fail. Views that differ do no harm: two may read, and one that does not read refuses to pass on.
 *
 * @example
 * const sources = new TableSources({ context, self, peers });
 * sources.start(); // emits `tables.sourceChanged` when a peer is found
 * sources.handleFailure('entry-a2'); // the next one is asked
 */
export class TableSources {
  private current = STORE_ALONE;

  private readonly exclusions = new Map<EntryVmId, Exclusion>();

  private askedAtMs: MonotonicMs | undefined;

  private timer: Timer | undefined;

  private isStopped = false;

  constructor(private readonly options: TableSourcesOptions) {}

  /** The source that was decided last. */
  get source(): TableSource {
    return this.current;
  }

  /** Begins to review the source at intervals, once there are enough entry VMs. */
  start(): void {
    if (this.timer !== undefined || this.isStopped) return;
    if (this.options.peers.size + 1 < MIN_SHARING_VMS) return;
    this.reviewAtIntervals();
  }

  /** Passes nothing on and asks no peer any more: the process stops. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.change(STORE_ALONE);
  }

  /** Handles that a peer did not pass on what it reads, or something too old. */
  handleFailure(peer: EntryVmId): void {
    const { nowMs } = this.options.context;
    const last = this.exclusions.get(peer);
    const isRecent = last !== undefined && nowMs - last.untilMs < FAILURE_MEMORY_MS;
    const failures = (isRecent ? last.failures : 0) + 1;
    const excludedMs = Math.min(MAX_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** (failures - 1));
    this.exclusions.set(peer, { failures, untilMs: nowMs + excludedMs });
    this.review();
  }

  /** Handles that a peer asks this entry VM for what it reads. */
  handleAsked(): void {
    this.askedAtMs = this.options.context.nowMs;
    this.review();
  }

  private reviewAtIntervals(): void {
    this.review();
    this.timer = this.options.context.schedule(REVIEW_INTERVAL_MS, () => this.reviewAtIntervals());
  }

  private review(): void {
    if (!this.isStopped) this.change(this.decide());
  }

  private change(source: TableSource): void {
    if (isSame(source, this.current)) return;
    this.current = source;
    this.options.context.emit({ kind: 'tables.sourceChanged', source });
  }

  private decide(): TableSource {
    const { context, self, peers } = this.options;
    const domainPeers = peers.listActiveOf(self.failureDomain, context.nowMs);
    if (domainPeers.length + 1 < MIN_SHARING_VMS) return STORE_ALONE;
    const ids = [self.id, ...domainPeers.map(({ id }) => id)];
    const ranked = rankOwners(self.failureDomain, ids).slice(0, MAX_SOURCES);
    const chosen = ranked.find((id) => id === self.id || !this.isExcluded(id));
    if (chosen === self.id || (ranked.includes(self.id) && this.wasAsked()))
      return { peer: undefined, role: 'serves' };
    const peer = domainPeers.find(({ id }) => id === chosen);
    if (peer === undefined) return STORE_ALONE;
    return { peer, role: ranked.includes(self.id) ? 'standsBy' : 'none' };
  }

  private isExcluded(id: EntryVmId): boolean {
    const exclusion = this.exclusions.get(id);
    return exclusion !== undefined && this.options.context.nowMs < exclusion.untilMs;
  }

  private wasAsked(): boolean {
    const { askedAtMs } = this;
    return askedAtMs !== undefined && this.options.context.nowMs - askedAtMs < ASKED_MEMORY_MS;
  }
}
