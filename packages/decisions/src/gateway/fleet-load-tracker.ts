import type {
  EndpointId,
  EngineWork,
  GatewayPeer,
  MonotonicMs,
  WorkSnapshot,
} from '@savorywind/model';
import { PeerTable } from './peer-table.js';

/** Work of one request of this entry VM on one engine, counted from the moment it is sent there. */
export interface LocalWork {
  readonly endpoint: EndpointId;
  /** Prefill time of the whole part on an idle engine. */
  readonly prefillMs: number;
  readonly memoryTokens: number;
  /** Permitted pause between events; undefined if no events are sent, as at a helper. */
  readonly gapMs: number | undefined;
  /** Whether the prefill takes several passes; that of a short prompt takes one. */
  readonly isLong: boolean;
  readonly startedAtMs: MonotonicMs;
  state: 'prefill' | 'decode';
}

/** Work of all known entry VMs on one engine. The fields are those of {@link EngineWork}. */
export interface EngineLoad {
  writers: number;
  tightWriters: number;
  tightGapMs: number;
  readers: number;
  longReaders: number;
  readMs: number;
  memoryTokens: number;
}

/** What a snapshot tells besides the work. */
export type SnapshotFields = Omit<WorkSnapshot, 'from' | 'incarnation' | 'sequence' | 'work'>;

/** Loads by engine; engines without any work are missing. */
export type EngineLoads = ReadonlyMap<EndpointId, EngineLoad>;

/**
 * The remaining prefill time of a long prompt counts as at least this fraction of its estimate
 * until its first event, even if that event is overdue. The same minimum applies to the prefill
 * time in a peer's snapshot.
 */
const MIN_PREFILL_FRACTION = 0.15;

/** Creates the load of an engine that has no work. */
export const createIdleLoad = (): EngineLoad => ({
  writers: 0,
  tightWriters: 0,
  tightGapMs: 0,
  readers: 0,
  longReaders: 0,
  readMs: 0,
  memoryTokens: 0,
});

/** Picks the shorter of two permitted pauses, where 0 means none. */
const pickTighterGap = (a: number, b: number): number => {
  if (a === 0 || b === 0) return Math.max(a, b);
  return Math.min(a, b);
};

const addWork = (load: EngineLoad, work: EngineWork, readMs: number): void => {
  load.writers += work.writers;
  load.tightWriters += work.tightWriters;
  load.tightGapMs = pickTighterGap(load.tightGapMs, work.tightGapMs);
  load.readers += work.readers;
  load.longReaders += work.longReaders;
  load.readMs += readMs;
  load.memoryTokens += work.memoryTokens;
};

const estimateRemainingPrefillMs = (work: LocalWork, nowMs: MonotonicMs): number => {
  if (work.state === 'decode') return 0;
  // A short prompt is prefilled in the pass that ends with its first event, so it counts in full
  // until then.
  if (!work.isLong) return work.prefillMs;
  return Math.max(
    MIN_PREFILL_FRACTION * work.prefillMs,
    work.prefillMs - (nowMs - work.startedAtMs),
  );
};

const describeLocalWork = (work: LocalWork, nowMs: MonotonicMs): EngineWork => {
  const isDecoding = work.state === 'decode' && work.gapMs !== undefined;
  const hasGap = work.gapMs !== undefined;
  return {
    endpoint: work.endpoint,
    writers: isDecoding ? 1 : 0,
    tightWriters: hasGap ? 1 : 0,
    tightGapMs: hasGap ? (work.gapMs ?? 0) : 0,
    readers: work.state === 'prefill' ? 1 : 0,
    longReaders: work.state === 'prefill' && work.isLong ? 1 : 0,
    readMs: estimateRemainingPrefillMs(work, nowMs),
    memoryTokens: work.memoryTokens,
  };
};

/**
 * Tracks the work of all entry VMs on each engine. Each entry VM sends its work as snapshots, and
 * each snapshot replaces the previous one. The work of a peer that is inactive is not counted; see
 * {@link PeerTable}.
 */
export class FleetLoadTracker {
  private readonly localWork = new Set<LocalWork>();

  readonly peers: PeerTable;

  private sequence = 0;

  /** Loads as computed for one point in time; cleared when any work changes. */
  private cache: { readonly atMs: MonotonicMs; readonly loads: EngineLoads } | undefined;

  constructor(
    private readonly self: GatewayPeer,
    private readonly incarnation: number,
  ) {
    this.peers = new PeerTable(self);
  }

  addLocalWork(work: LocalWork): void {
    this.localWork.add(work);
    this.cache = undefined;
  }

  removeLocalWork(work: LocalWork): void {
    this.localWork.delete(work);
    this.cache = undefined;
  }

  /** @returns whether the snapshot was newer than the previous one of the peer and was applied */
  applySnapshot(snapshot: WorkSnapshot, nowMs: MonotonicMs): boolean {
    if (!this.peers.applySnapshot(snapshot, nowMs)) return false;
    this.cache = undefined;
    return true;
  }

  /** Entry VMs known since the start of the process, including this one. */
  get entryVmCount(): number {
    return this.peers.size + 1;
  }

  /** Sums the load of each engine that has any work. */
  sumLoads(nowMs: MonotonicMs): EngineLoads {
    if (this.cache?.atMs !== nowMs) this.cache = { atMs: nowMs, loads: this.sumAll(nowMs) };
    return this.cache.loads;
  }

  private sumAll(nowMs: MonotonicMs): EngineLoads {
    const loads = new Map<EndpointId, EngineLoad>();
    const findLoad = (id: EndpointId): EngineLoad => {
      const load = loads.get(id) ?? createIdleLoad();
      loads.set(id, load);
      return load;
    };
    this.localWork.forEach((work) => {
      const engineWork = describeLocalWork(work, nowMs);
      addWork(findLoad(work.endpoint), engineWork, engineWork.readMs);
    });
    this.peers.listActive(nowMs).forEach((peer) => {
      const ageMs = nowMs - peer.receivedAtMs!;
      peer.work.forEach((work) =>
        addWork(
          findLoad(work.endpoint),
          work,
          Math.max(MIN_PREFILL_FRACTION * work.readMs, work.readMs - ageMs),
        ),
      );
    });
    return loads;
  }

  createSnapshot(fields: SnapshotFields, nowMs: MonotonicMs): WorkSnapshot {
    this.sequence += 1;
    const byEngine = new Map<EndpointId, EngineLoad>();
    this.localWork.forEach((work) => {
      const load = byEngine.get(work.endpoint) ?? createIdleLoad();
      const engineWork = describeLocalWork(work, nowMs);
      addWork(load, engineWork, engineWork.readMs);
      byEngine.set(work.endpoint, load);
    });
    const work = [...byEngine].map(([endpoint, load]) => ({
      endpoint,
      ...load,
      readMs: Math.round(load.readMs),
    }));
    const { self: from, incarnation, sequence } = this;
    return { from, incarnation, sequence, work, ...fields };
  }
}
