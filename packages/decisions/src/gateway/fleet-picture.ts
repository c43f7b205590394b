import type {
  EndpointId,
  EngineWork,
  EntryVmId,
  FailureDomainId,
  GatewayPeer,
  MonotonicMs,
  NetworkAddress,
  WorkSnapshot,
} from '@savorywind/model';
import { PEER_SILENCE_MS, SILENT_PEER_REPEAT_MS } from './consts.js';

/** One request's work on one engine, from the moment at which it is sent there. */
export interface OwnWork {
  readonly endpoint: EndpointId;
  readonly readMs: number;
  readonly memoryTokens: number;
  /** Permitted pause between events; undefined where there are none, as at a helper. */
  readonly gapMs: number | undefined;
  /** Whether reading goes on over several passes; a short prompt is read in one. */
  readonly isLong: boolean;
  readonly startedAtMs: MonotonicMs;
  state: 'reading' | 'writing';
}

/** All work on an engine, as far as this entry VM knows. */
export interface EngineLoad {
  writers: number;
  tightWriters: number;
  tightGapMs: number;
  readers: number;
  longReaders: number;
  readMs: number;
  memoryTokens: number;
}

export type EngineLoads = ReadonlyMap<EndpointId, EngineLoad>;

interface KnownPeer {
  readonly peer: GatewayPeer;
  incarnation: number;
  sequence: number;
  /** Undefined before its first snapshot. */
  heardAtMs: MonotonicMs | undefined;
  sentAtMs: MonotonicMs;
  work: readonly EngineWork[];
}

/** A prompt counts with this share of its reading time until its first event, however late that is. */
const LEAST_READING_SHARE = 0.15;

/** An engine without any work. */
export const createLoad = (): EngineLoad => ({
  writers: 0,
  tightWriters: 0,
  tightGapMs: 0,
  readers: 0,
  longReaders: 0,
  readMs: 0,
  memoryTokens: 0,
});

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

const estimateRemainingReadMs = (work: OwnWork, nowMs: MonotonicMs): number => {
  if (work.state === 'writing') return 0;
  // A short prompt is read in the pass that ends with its first event: it counts whole until then.
  if (!work.isLong) return work.readMs;
  return Math.max(LEAST_READING_SHARE * work.readMs, work.readMs - (nowMs - work.startedAtMs));
};

const describeOwn = (work: OwnWork, nowMs: MonotonicMs): EngineWork => {
  const writes = work.state === 'writing' && work.gapMs !== undefined;
  const tight = work.gapMs !== undefined;
  return {
    endpoint: work.endpoint,
    writers: writes ? 1 : 0,
    tightWriters: tight ? 1 : 0,
    tightGapMs: tight ? (work.gapMs ?? 0) : 0,
    readers: work.state === 'reading' ? 1 : 0,
    longReaders: work.state === 'reading' && work.isLong ? 1 : 0,
    readMs: estimateRemainingReadMs(work, nowMs),
    memoryTokens: work.memoryTokens,
  };
};

/**
 * What all entry VMs have on each engine. Each VM sends its own work as a snapshot that replaces the
 * ones before; a peer that falls silent counts no more after some repeats.
 */
export class FleetPicture {
  private readonly own = new Set<OwnWork>();

  private readonly peers = new Map<EntryVmId, KnownPeer>();

  private sequence = 0;

  /** The sums for one moment, as long as nothing has changed. */
  private summed: { readonly atMs: MonotonicMs; readonly loads: EngineLoads } | undefined;

  constructor(
    private readonly self: GatewayPeer,
    private readonly incarnation: number,
  ) {}

  addOwn(work: OwnWork): void {
    this.own.add(work);
    this.summed = undefined;
  }

  removeOwn(work: OwnWork): void {
    this.own.delete(work);
    this.summed = undefined;
  }

  addPeer(peer: GatewayPeer): void {
    if (peer.id === this.self.id || this.peers.has(peer.id)) return;
    this.peers.set(peer.id, {
      peer,
      incarnation: 0,
      sequence: 0,
      heardAtMs: undefined,
      sentAtMs: -SILENT_PEER_REPEAT_MS,
      work: [],
    });
  }

  /** @returns whether the snapshot is newer than what was known */
  acceptSnapshot(snapshot: WorkSnapshot, nowMs: MonotonicMs): boolean {
    if (snapshot.from.id === this.self.id) return false;
    this.addPeer(snapshot.from);
    const known = this.peers.get(snapshot.from.id)!;
    const isOld =
      snapshot.incarnation < known.incarnation ||
      (snapshot.incarnation === known.incarnation && snapshot.sequence <= known.sequence);
    if (isOld) return false;
    known.incarnation = snapshot.incarnation;
    known.sequence = snapshot.sequence;
    known.heardAtMs = nowMs;
    known.work = snapshot.work;
    this.summed = undefined;
    return true;
  }

  /** Entry VMs that were ever known, this one included. */
  get vmCount(): number {
    return this.peers.size + 1;
  }

  /** When an entry VM of a failure domain was heard last; undefined where none was. */
  findHeardAtMs(domain: FailureDomainId): MonotonicMs | undefined {
    const times = [...this.peers.values()]
      .filter(({ peer }) => peer.failureDomain === domain)
      .flatMap(({ heardAtMs }) => heardAtMs ?? []);
    return times.length === 0 ? undefined : Math.max(...times);
  }

  /** Load of every engine that has any. */
  sumLoads(nowMs: MonotonicMs): EngineLoads {
    if (this.summed?.atMs !== nowMs) this.summed = { atMs: nowMs, loads: this.sumAll(nowMs) };
    return this.summed.loads;
  }

  private sumAll(nowMs: MonotonicMs): EngineLoads {
    const loads = new Map<EndpointId, EngineLoad>();
    const find = (id: EndpointId): EngineLoad => {
      const load = loads.get(id) ?? createLoad();
      loads.set(id, load);
      return load;
    };
    this.own.forEach((work) => {
      const described = describeOwn(work, nowMs);
      addWork(find(work.endpoint), described, described.readMs);
    });
    this.peers.forEach((peer) => {
      if (!this.isHeard(peer, nowMs)) return;
      const ageMs = nowMs - peer.heardAtMs!;
      peer.work.forEach((work) =>
        addWork(
          find(work.endpoint),
          work,
          Math.max(LEAST_READING_SHARE * work.readMs, work.readMs - ageMs),
        ),
      );
    });
    return loads;
  }

  createSnapshot(nowMs: MonotonicMs): WorkSnapshot {
    this.sequence += 1;
    const byEngine = new Map<EndpointId, EngineLoad>();
    this.own.forEach((work) => {
      const load = byEngine.get(work.endpoint) ?? createLoad();
      const described = describeOwn(work, nowMs);
      addWork(load, described, described.readMs);
      byEngine.set(work.endpoint, load);
    });
    const work = [...byEngine].map(([endpoint, load]) => ({
      endpoint,
      ...load,
      readMs: Math.round(load.readMs),
    }));
    return { from: this.self, incarnation: this.incarnation, sequence: this.sequence, work };
  }

  /** Peers that get the next snapshot: those that are heard, and silent ones now and then. */
  takeRecipients(nowMs: MonotonicMs): NetworkAddress[] {
    const recipients = [...this.peers.values()].filter(
      (peer) => this.isHeard(peer, nowMs) || nowMs - peer.sentAtMs >= SILENT_PEER_REPEAT_MS,
    );
    recipients.forEach((peer) => {
      peer.sentAtMs = nowMs;
    });
    return recipients.map(({ peer }) => peer.address);
  }

  // eslint-disable-next-line class-methods-use-this
  private isHeard({ heardAtMs }: KnownPeer, nowMs: MonotonicMs): boolean {
    return heardAtMs !== undefined && nowMs - heardAtMs < PEER_SILENCE_MS;
  }
}
