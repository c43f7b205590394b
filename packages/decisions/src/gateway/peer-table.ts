import type {
  EngineWork,
  EntryVmId,
  FailureDomainId,
  ForwardingOffer,
  GatewayPeer,
  MonotonicMs,
  NetworkAddress,
  ServiceId,
  WorkSnapshot,
} from '@savorywind/model';
import {
  INACTIVE_PEER_SNAPSHOT_INTERVAL_MS,
  MAX_FREQUENT_PEERS,
  MAX_PEER_ABSENCE_MS,
  MAX_PERIODIC_RECIPIENTS,
  MAX_URGENT_RECIPIENTS,
  MAX_REPEATS_PER_S,
  MIN_PEER_TIMEOUT_MS,
  PEER_TIMEOUT_INTERVALS,
  SNAPSHOT_INTERVAL_MS,
} from './consts.js';

const MS_PER_S = 1_000;

/** Another entry VM, and the last snapshot of its work. */
export interface PeerState {
  readonly peer: GatewayPeer;
  incarnation: number;
  sequence: number;
  /** When this entry VM first knew of it. */
  readonly addedAtMs: MonotonicMs;
  /** Whether its build answers requests for permits. */
  answersPermits: boolean;
  /** When its last snapshot was received; undefined before the first one. */
  receivedAtMs: MonotonicMs | undefined;
  /** When the last snapshot was sent to it. */
  sentAtMs: MonotonicMs;
  work: readonly EngineWork[];
  /** Whether the store has shown its registration, as nobody else can forge that. */
  isRegistered: boolean;
  forwarding: ForwardingOffer | undefined;
  /** Version of the configuration that it has told last. */
  configurationVersion: number | undefined;
}

/**
 * How often a peer gets snapshots. `frequent`: at each change, as it places work on the same engines.
 * `periodic`: at intervals.
 */
export type SnapshotFrequency = 'frequent' | 'periodic';

/** Peers of one failure domain. */
interface DomainPeers {
  count: number;
  receivedAtMs: MonotonicMs | undefined;
}

/**
 * Other entry VMs, and who of them gets snapshots how often. In a fleet of up to
 * {@link MAX_FREQUENT_PEERS} peers all get each change; in a larger one only those of the own failure
 * domain, so that what an entry VM sends does not grow with the fleet.
 */
export class PeerTable {
  private readonly peers = new Map<EntryVmId, PeerState>();

  private readonly domains = new Map<FailureDomainId, DomainPeers>();

  constructor(private readonly self: GatewayPeer) {}

  get size(): number {
    return this.peers.size;
  }

  add(peer: GatewayPeer, nowMs: MonotonicMs): void {
    if (peer.id === this.self.id || this.peers.has(peer.id)) return;
    this.peers.set(peer.id, {
      peer,
      addedAtMs: nowMs,
      answersPermits: false,
      incarnation: 0,
      sequence: 0,
      receivedAtMs: undefined,
      sentAtMs: Number.NEGATIVE_INFINITY,
      work: [],
      isRegistered: false,
      forwarding: undefined,
      configurationVersion: undefined,
    });
    const domain = this.domains.get(peer.failureDomain) ?? { count: 0, receivedAtMs: undefined };
    domain.count += 1;
    this.domains.set(peer.failureDomain, domain);
  }

  /** @returns whether the snapshot was newer than the previous one of the peer and was applied */
  applySnapshot(snapshot: WorkSnapshot, nowMs: MonotonicMs): boolean {
    if (snapshot.from.id === this.self.id) return false;
    this.add(snapshot.from, nowMs);
    const state = this.peers.get(snapshot.from.id)!;
    const isStale =
      snapshot.incarnation < state.incarnation ||
      (snapshot.incarnation === state.incarnation && snapshot.sequence <= state.sequence);
    if (isStale) return false;
    state.incarnation = snapshot.incarnation;
    state.sequence = snapshot.sequence;
    state.receivedAtMs = nowMs;
    state.work = snapshot.work;
    state.forwarding = snapshot.forwarding;
    state.configurationVersion = snapshot.configuration?.version;
    state.answersPermits = snapshot.limits !== undefined;
    this.domains.get(state.peer.failureDomain)!.receivedAtMs = nowMs;
    return true;
  }

  /** Whether a snapshot of the same process, or of a later one, has been applied. */
  hasHeard({ from, incarnation }: Pick<WorkSnapshot, 'from' | 'incarnation'>): boolean {
    const state = this.peers.get(from.id);
    return state?.receivedAtMs !== undefined && state.incarnation >= incarnation;
  }

  /** Records that the store holds the registration of a peer. */
  recordRegistered({ id, address }: GatewayPeer): void {
    const state = this.peers.get(id);
    if (state === undefined) return;
    state.isRegistered =
      state.peer.address.host === address.host && state.peer.address.port === address.port;
  }

  /**
   * Lists the peers that accept requests of a service from other entry VMs, can connect to its endpoints
   * and know a version of the configuration. Only registered ones get what callers have sent.
   */
  listForwardingTargets(service: ServiceId, version: number, nowMs: MonotonicMs): PeerState[] {
    return this.listActive(nowMs).filter(
      ({ isRegistered, forwarding, configurationVersion = version }) =>
        isRegistered &&
        forwarding?.isAccepting === true &&
        !forwarding.lostServices.includes(service) &&
        configurationVersion >= version,
    );
  }

  /** Lists the peers whose last snapshot is recent enough to be counted. */
  listActive(nowMs: MonotonicMs): PeerState[] {
    return [...this.peers.values()].filter((state) => this.isActive(state, nowMs));
  }

  /** Lists the peers of a failure domain whose last snapshot is recent enough to be counted. */
  listActiveOf(domain: FailureDomainId, nowMs: MonotonicMs): GatewayPeer[] {
    return [...this.peers.values()]
      .filter((state) => state.peer.failureDomain === domain && this.isActive(state, nowMs))
      .map(({ peer }) => peer);
  }

  /** Lists the peers that were heard, or added, recently enough not to count as removed for good. */
  listPresent(nowMs: MonotonicMs): PeerState[] {
    return [...this.peers.values()].filter(
      ({ receivedAtMs, addedAtMs }) => nowMs - (receivedAtMs ?? addedAtMs) <= MAX_PEER_ABSENCE_MS,
    );
  }

  /** Lists the peers that were heard, or added, within a time. */
  listHeardWithin(durationMs: number, nowMs: MonotonicMs): GatewayPeer[] {
    return [...this.peers.values()]
      .filter(({ receivedAtMs, addedAtMs }) => nowMs - (receivedAtMs ?? addedAtMs) <= durationMs)
      .map(({ peer }) => peer);
  }

  /** Time of the last snapshot from any entry VM of a failure domain; undefined if none came. */
  findLastReceivedAtMs(domain: FailureDomainId): MonotonicMs | undefined {
    return this.domains.get(domain)?.receivedAtMs;
  }

  /** Estimates the longest time between two snapshots from a failure domain, in milliseconds. */
  estimateDomainIntervalMs(domain: FailureDomainId): number {
    const count = this.domains.get(domain)?.count ?? 1;
    const intervalMs = this.estimateIntervalMs(this.findDomainFrequency(domain));
    return Math.max(SNAPSHOT_INTERVAL_MS, intervalMs / count);
  }

  /** Estimates the time after which an unchanged snapshot is sent to a peer again, in milliseconds. */
  estimateIntervalMs(frequency: SnapshotFrequency): number {
    return frequency === 'frequent'
      ? this.estimateRepeatIntervalMs()
      : this.estimatePeriodicIntervalMs();
  }

  /** Whether some peers only get snapshots periodically. */
  get hasPeriodicPeers(): boolean {
    return this.countPeriodic() > 0;
  }

  /** Lists the peers that get the next snapshot and records it as sent. */
  takeRecipients(frequency: SnapshotFrequency, nowMs: MonotonicMs): NetworkAddress[] {
    const due = [...this.peers.values()].filter(
      (state) =>
        this.findDomainFrequency(state.peer.failureDomain) === frequency &&
        this.isDue(state, frequency, nowMs),
    );
    const recipients =
      frequency === 'frequent'
        ? due
        : due.sort((a, b) => a.sentAtMs - b.sentAtMs).slice(0, MAX_PERIODIC_RECIPIENTS);
    recipients.forEach((state) => {
      state.sentAtMs = nowMs;
    });
    return recipients.map(({ peer }) => peer.address);
  }

  /**
   * Lists the peers that are told at once, and records a snapshot as sent to them: the active ones, those
   * of some failure domains first, then those of the own one, which else get each change, then those that
   * were told longest ago.
   */
  takeUrgentRecipients(
    domains: ReadonlySet<FailureDomainId>,
    nowMs: MonotonicMs,
  ): Readonly<Record<SnapshotFrequency, readonly NetworkAddress[]>> {
    const rank = ({ peer: { failureDomain } }: PeerState): number => {
      if (domains.has(failureDomain)) return 0;
      return failureDomain === this.self.failureDomain ? 1 : 2;
    };
    const recipients = [...this.listActive(nowMs)]
      .sort((a, b) => rank(a) - rank(b) || a.sentAtMs - b.sentAtMs)
      .slice(0, MAX_URGENT_RECIPIENTS);
    const byFrequency: Record<SnapshotFrequency, NetworkAddress[]> = { frequent: [], periodic: [] };
    recipients.forEach((state) => {
      state.sentAtMs = nowMs;
      byFrequency[this.findDomainFrequency(state.peer.failureDomain)].push(state.peer.address);
    });
    return byFrequency;
  }

  /** Inactive peers also get snapshots, so that both detect when they can reach each other again. */
  private isDue(state: PeerState, frequency: SnapshotFrequency, nowMs: MonotonicMs): boolean {
    const elapsedMs = nowMs - state.sentAtMs;
    if (frequency === 'periodic') return elapsedMs >= this.estimatePeriodicIntervalMs();
    return this.isActive(state, nowMs) || elapsedMs >= INACTIVE_PEER_SNAPSHOT_INTERVAL_MS;
  }

  /** Whether the last snapshot of a peer is recent enough to be counted. */
  isActive({ peer, receivedAtMs }: PeerState, nowMs: MonotonicMs): boolean {
    const intervalMs = this.estimateIntervalMs(this.findDomainFrequency(peer.failureDomain));
    const timeoutMs = Math.max(MIN_PEER_TIMEOUT_MS, PEER_TIMEOUT_INTERVALS * intervalMs);
    return receivedAtMs !== undefined && nowMs - receivedAtMs < timeoutMs;
  }

  private findDomainFrequency(domain: FailureDomainId): SnapshotFrequency {
    const isFrequent = this.size <= MAX_FREQUENT_PEERS || domain === this.self.failureDomain;
    return isFrequent ? 'frequent' : 'periodic';
  }

  private countPeriodic(): number {
    if (this.size <= MAX_FREQUENT_PEERS) return 0;
    return this.size - (this.domains.get(this.self.failureDomain)?.count ?? 0);
  }

  private estimateRepeatIntervalMs(): number {
    const frequentCount = this.size - this.countPeriodic();
    return Math.max(SNAPSHOT_INTERVAL_MS, (frequentCount * MS_PER_S) / MAX_REPEATS_PER_S);
  }

  /** Estimates the time in which each periodic peer gets one snapshot, in milliseconds. */
  private estimatePeriodicIntervalMs(): number {
    const rounds = Math.ceil(this.countPeriodic() / MAX_PERIODIC_RECIPIENTS);
    return rounds * SNAPSHOT_INTERVAL_MS;
  }
}
