import type {
  ColdBound,
  ColdTraits,
  EndpointId,
  GatewayEndpoint,
  GatewayPeer,
  MonotonicMs,
  ServiceId,
} from '@savorywind/model';
import { compareOwners } from '../../membership/rendezvous.js';
import { CONNECT_TIMEOUT_MS } from '../consts.js';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { PeerTable } from '../peer-table.js';
import type { ColdEndpoints } from './cold-endpoints.js';

export interface ColdSharesOptions {
  readonly context: GatewayContext;
  readonly self: GatewayPeer;
  readonly peers: PeerTable;
  readonly table: EndpointTable;
  readonly cold: ColdEndpoints;
  /** Returns what the endpoints of a service take while they are cold; undefined if they are never cold. */
  readonly findTraits: (service: ServiceId) => ColdTraits | undefined;
  readonly bound: ColdBound | undefined;
}

/** The place of this entry VM among those that share an endpoint. */
interface Place {
  /** Entry VMs that share it. */
  readonly members: number;
  /** Members before this entry VM in the order of this endpoint; undefined if it is no member. */
  readonly rank: number | undefined;
  /** Entry VMs that were known when it was computed. */
  readonly knownPeers: number;
  readonly computedAtMs: MonotonicMs;
}

const MS_PER_S = 1_000;

/** The bound counts the requests of this time. */
const BOUND_MS = 1_000;

/**
 * Time over which a share counts. A request may leave this VM up to the timeout of its connection after its
 * attempt has started, so that requests of the longer time can be sent within one second.
 */
const SHARE_WINDOW_MS = BOUND_MS + CONNECT_TIMEOUT_MS;

/** Time after which an entry VM that was not heard counts as removed for good, in milliseconds. */
const MAX_MEMBER_ABSENCE_MS = 300_000;

/** Time after which members are listed again although no VM has become known, in milliseconds. */
const PLACE_LIFETIME_MS = 5_000;

/**
 * Shares of what a cold endpoint takes, which are permits that each entry VM grants itself: a whole number of
 * requests in any {@link SHARE_WINDOW_MS}. The endpoint's rate is divided among the entry VMs of its failure
 * domain, or among all if none is known there, whether or not they can be heard: no cut and no loss of a VM
 * makes a share grow, so the sum holds as long as each VM knows all the others that are alive. What is left
 * over goes to the first VMs in an order that differs from endpoint to endpoint.
 *
 * @example
 * if (shares.mayUse('engine-1')) shares.recordAttempt('engine-1');
 */
export class ColdShares {
  private readonly places = new Map<EndpointId, Place>();

  /** Starts of attempts at each endpoint in the last window, also from before it was known to be cold. */
  private readonly starts = new Map<EndpointId, MonotonicMs[]>();

  /** From when on this entry VM has shares: it knows the others, and they have had time to hear of it. */
  private entitledFromMs = Number.POSITIVE_INFINITY;

  private bound: ColdBound | undefined;

  constructor(private readonly options: ColdSharesOptions) {
    this.bound = options.bound;
  }

  changeBound(bound: ColdBound | undefined): void {
    this.bound = bound;
  }

  /**
   * Records that the registered entry VMs have been read. What an earlier process of this VM has sent has left
   * the window when the first share begins.
   */
  handlePeersRead(): void {
    const { nowMs } = this.options.context;
    this.entitledFromMs = Math.min(this.entitledFromMs, nowMs + SHARE_WINDOW_MS);
  }

  /** Whether an endpoint is cold and what it may get is bounded. */
  isBounded(endpoint: EndpointId): boolean {
    return (
      this.options.cold.findEndMs(endpoint) !== undefined && this.findBudget(endpoint) !== undefined
    );
  }

  /** Whether a request may be sent to an endpoint now. */
  mayUse(endpoint: EndpointId): boolean {
    return this.findUsableMs(endpoint) <= this.options.context.nowMs;
  }

  /** Finds the earliest time at which an endpoint may get a request, as far as known. */
  findUsableMs(endpoint: EndpointId): MonotonicMs {
    const { nowMs } = this.options.context;
    const endMs = this.options.cold.findEndMs(endpoint);
    const budget = this.findBudget(endpoint);
    if (endMs === undefined || budget === undefined) return nowMs;
    const share = this.computeShare(endpoint, budget);
    if (share === 0) return endMs;
    const starts = this.listStarts(endpoint);
    const oldestMs = starts[starts.length - share];
    const freeMs = oldestMs === undefined ? nowMs : oldestMs + SHARE_WINDOW_MS;
    return Math.min(endMs, Math.max(freeMs, this.entitledFromMs));
  }

  /** Whether an attempt may start that was planned a while ago. A cold endpoint helps with no prompt. */
  mayStart({ id }: GatewayEndpoint, helpers: readonly GatewayEndpoint[]): boolean {
    return this.mayUse(id) && !helpers.some((helper) => this.isBounded(helper.id));
  }

  recordAttempt(endpoint: EndpointId): void {
    if (this.findBudget(endpoint) === undefined) return;
    this.starts.set(endpoint, [...this.listStarts(endpoint), this.options.context.nowMs]);
    this.options.cold.recordAttempt(endpoint);
  }

  /** Forgets what was sent to a process. */
  remove(endpoint: EndpointId): void {
    this.starts.delete(endpoint);
    this.places.delete(endpoint);
  }

  /** Finds how many requests all entry VMs together may start in a window; undefined if it is not bounded. */
  private findBudget(endpoint: EndpointId): number | undefined {
    const { table, findTraits } = this.options;
    const registered = this.bound === undefined ? undefined : table.findKnown(endpoint);
    const traits = registered === undefined ? undefined : findTraits(registered.service);
    if (this.bound === undefined || traits === undefined) return undefined;
    const permitted = traits.perSecond * this.bound.ratio + this.bound.allowance;
    return Math.floor(Math.min(permitted, (traits.perSecond * SHARE_WINDOW_MS) / MS_PER_S));
  }

  private computeShare(endpoint: EndpointId, budget: number): number {
    const { members, rank } = this.findPlace(endpoint);
    if (rank === undefined) return 0;
    return Math.floor(budget / members) + Number(rank < budget % members);
  }

  private findPlace(endpoint: EndpointId): Place {
    const { context, peers } = this.options;
    const known = this.places.get(endpoint);
    const isValid =
      known?.knownPeers === peers.size && context.nowMs < known.computedAtMs + PLACE_LIFETIME_MS;
    if (isValid) return known;
    const place = this.computePlace(endpoint);
    this.places.set(endpoint, place);
    return place;
  }

  private computePlace(endpoint: EndpointId): Place {
    const { context, self, peers, table } = this.options;
    const domain = table.findKnown(endpoint)?.failureDomain;
    const all = [self, ...peers.listHeardWithin(MAX_MEMBER_ABSENCE_MS, context.nowMs)];
    const local = all.filter(({ failureDomain }) => failureDomain === domain);
    const members = local.length > 0 ? local : all;
    const isBefore = ({ id }: GatewayPeer): boolean => compareOwners(endpoint, id, self.id) < 0;
    const rank = members.includes(self) ? members.filter(isBefore).length : undefined;
    const knownPeers = peers.size;
    return { members: members.length, rank, knownPeers, computedAtMs: context.nowMs };
  }

  private listStarts(endpoint: EndpointId): MonotonicMs[] {
    const sinceMs = this.options.context.nowMs - SHARE_WINDOW_MS;
    return (this.starts.get(endpoint) ?? []).filter((atMs) => atMs > sinceMs);
  }
}
