import type { EntryVmId, MonotonicMs, ServiceId } from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointPaths } from '../path/endpoint-paths.js';
import type { PeerState, PeerTable } from '../peer-table.js';
import type { GatewayRecord } from '../request-record.js';
import type { GatewayRefusalReason } from '../types.js';
import {
  CANDIDATES_AGE_MS,
  CONNECT_FAILURES_BEFORE_FORWARDING,
  LOCAL_PREFERENCE_REQUESTS,
  MAX_FORWARDS,
  UNREACHABLE_PEER_MS,
} from './consts.js';
import type { PeerRefusal } from './types.js';

export interface RequestForwarderOptions {
  readonly context: GatewayContext;
  readonly peers: PeerTable;
  readonly paths: EndpointPaths;
  readonly failureDomain: string;
  /** Returns the version of the configuration in force. */
  readonly readVersion: () => number;
}

/** Reasons of a peer that may not hold for another one. */
const REASONS_OF_ONE_VM: ReadonlySet<GatewayRefusalReason> = new Set([
  'notReady',
  'credentialsStale',
  'noEndpoint',
  'endpointsClosed',
  'noRoom',
  'rejected',
  'stopping',
]);

/** Peers that accept requests of a service, as listed at one time. */
interface Candidates {
  readonly atMs: MonotonicMs;
  readonly peers: readonly PeerState[];
}

/**
 * Chooses peers for requests that this entry VM can't send to any endpoint itself. A peer places a
 * forwarded request by its own knowledge and sends it to one endpoint; retries are decided here. It never
 * forwards it again.
 *
 * @example
 * const peer = forwarder.pick(record); // undefined: place it on an endpoint
 */
export class RequestForwarder {
  private readonly candidates = new Map<ServiceId, Candidates>();

  private readonly unreachableUntilMs = new Map<EntryVmId, MonotonicMs>();

  /** Requests that are open at each peer. */
  private readonly openAt = new Map<EntryVmId, number>();

  private count = 0;

  constructor(private readonly options: RequestForwarderOptions) {}

  /** Requests forwarded so far; one counts again for each peer. */
  get forwarded(): number {
    return this.count;
  }

  /** Whether this entry VM can't send the request to an endpoint, as far as it knows. */
  needsPeer({ service, connectFailures }: GatewayRecord): boolean {
    const hasFailedOften = connectFailures >= CONNECT_FAILURES_BEFORE_FORWARDING;
    return this.options.paths.isLost(service.name) || hasFailedOften;
  }

  /** Picks the peer that gets a request; undefined if it is not to be forwarded, or there is none. */
  pick(record: GatewayRecord): PeerState | undefined {
    const isForwardable = record.forwardedFrom === undefined && record.forwards < MAX_FORWARDS;
    if (!isForwardable || !this.needsPeer(record)) return undefined;
    const { nowMs } = this.options.context;
    const usable = this.listCandidates(record.service.name).filter(
      ({ peer }) =>
        !record.refusedPeers.has(peer.id) && nowMs >= (this.unreachableUntilMs.get(peer.id) ?? 0),
    );
    const untried = usable.filter(({ peer }) => !record.triedPeers.has(peer.id));
    return this.pickLeastLoaded(untried.length > 0 ? untried : usable);
  }

  recordStart(record: GatewayRecord, peer: EntryVmId): void {
    this.count += 1;
    record.forwards += 1;
    record.triedPeers.add(peer);
    this.openAt.set(peer, (this.openAt.get(peer) ?? 0) + 1);
  }

  recordEnd(peer: EntryVmId): void {
    const open = (this.openAt.get(peer) ?? 1) - 1;
    if (open === 0) this.openAt.delete(peer);
    else this.openAt.set(peer, open);
  }

  /** Records that no connection to a peer could be opened. */
  recordUnreachable(record: GatewayRecord, peer: EntryVmId): void {
    record.refusedPeers.add(peer);
    this.unreachableUntilMs.set(peer, this.options.context.nowMs + UNREACHABLE_PEER_MS);
  }

  /** Whether another peer may take a request that one has refused without running it. */
  // eslint-disable-next-line class-methods-use-this
  mayTryAnother({ hasRun, reason }: PeerRefusal): boolean {
    return !hasRun && REASONS_OF_ONE_VM.has(reason);
  }

  private listCandidates(service: ServiceId): readonly PeerState[] {
    const { context, peers, readVersion } = this.options;
    const known = this.candidates.get(service);
    if (known !== undefined && context.nowMs - known.atMs < CANDIDATES_AGE_MS) return known.peers;
    const listed = peers.listForwardingTargets(service, readVersion(), context.nowMs);
    this.candidates.set(service, { atMs: context.nowMs, peers: listed });
    return listed;
  }

  private pickLeastLoaded(usable: readonly PeerState[]): PeerState | undefined {
    const { context, failureDomain } = this.options;
    const ranked = usable.map((state) => {
      const distance = state.peer.failureDomain === failureDomain ? 0 : LOCAL_PREFERENCE_REQUESTS;
      const load = this.countRequests(state) + distance;
      return { state, load, random: context.drawRandom() };
    });
    ranked.sort((a, b) => a.load - b.load || a.random - b.random);
    return ranked[0]?.state;
  }

  /** Counts the requests that a peer has told of, and those forwarded to it, which it may not have yet. */
  private countRequests({ peer, work }: PeerState): number {
    const told = work.reduce((sum, { writers, readers }) => sum + writers + readers, 0);
    return told + (this.openAt.get(peer.id) ?? 0);
  }
}
