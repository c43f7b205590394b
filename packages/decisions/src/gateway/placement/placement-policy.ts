import type { FailureDomainId, GatewayEndpoint, LogFields, MonotonicMs } from '@savorywind/model';
import type { EndpointAvailability } from '../availability/endpoint-availability.js';
import { MAX_HELPERS } from '../consts.js';
import type { EndpointHealth } from '../endpoint-health.js';
import type { DomainReachability } from '../domain-reachability.js';
import { estimatePassMs } from './engine-costs.js';
import { placeGeneration } from './place-generation.js';
import { createIdleLoad, type FleetLoadTracker } from '../fleet-load-tracker.js';
import type { GatewayContext } from '../gateway-context.js';
import type { ColdShares } from '../permits/cold-shares.js';
import type { EndpointLimits } from '../permits/endpoint-limits.js';
import type { PermitHolder } from '../permits/permit-holder.js';
import { pickReplica } from './pick-replica.js';
import {
  isAtFillLimit,
  TARGET_BUDGET_FRACTION,
  PASSES_TO_FIRST_EVENT,
  TOKENS_PER_STREAM_WEIGHT,
  type EngineCandidate,
  type PlacedHelper,
  type Placement,
  type PlacementInput,
} from './placement-estimates.js';
import type { GatewayRecord } from '../request-record.js';

/** Where a request is placed. */
interface PlacedDecision {
  readonly kind: 'place';
  /** Whether the estimate meets the target and the placement disrupts no stream. */
  readonly isOnTime: boolean;
  readonly endpoint: GatewayEndpoint;
  readonly helpers: readonly PlacedHelper[];
  /** Prefill time of each engine's part, in milliseconds. */
  readonly partMs: number;
  /** KV cache used at `endpoint`, in tokens. */
  readonly memoryTokens: number;
  /** Estimates behind the choice, as log fields. */
  readonly placementFields: LogFields;
}

/**
 * The request stays queued: every engine is full, waiting avoids disrupting other streams, or endpoints
 * with limits need a permit.
 */
export interface WaitDecision {
  readonly kind: 'wait';
  /** Earliest time at which a permit may be had if the request needs one. */
  readonly permitMs?: MonotonicMs;
  /**
   * When a late request is placed although other requests may need the capacity. Undefined for others,
   * which may be placed at any time.
   */
  readonly lateStartMs?: MonotonicMs;
}

/** Where a request is placed, or why it can't be placed now. */
export type PlacementDecision =
  | PlacedDecision
  | WaitDecision
  /** No endpoint of the service takes requests. */
  | { readonly kind: 'noEndpoint' }
  /** Those that serve have named a time to come back. */
  | {
      readonly kind: 'closed';
      /** When one of them may get a request at the earliest. */
      readonly untilMs: MonotonicMs;
    };

const IDLE_LOAD = createIdleLoad();

/** A request stops waiting for a better placement when less than this time is left to wait. */
const MIN_SLACK_MS = 100;

/**
 * Fraction of the time left to the target latency within which a long prompt's first event is
 * wanted: engines are added to its prefill until the estimate is below it.
 */
const SPLIT_TARGET_FRACTION = 0.45;

/**
 * Fraction of the caller's remaining wait within which the first event of a long prompt is wanted
 * that can't meet its target latency.
 */
const LATE_SPLIT_WAIT_FRACTION = 0.5;

/**
 * Fraction of the candidate engines that must stay idle while a late long prompt is prefilled, for
 * requests that can still meet their target.
 */
const MIN_REMAINING_IDLE_FRACTION = 0.5;

/**
 * Fraction of the candidate engines that must be idle for the load to count as low. A late long
 * prompt may then use any of them.
 */
const LOW_LOAD_IDLE_FRACTION = 0.85;

/**
 * Disruption that a prompt may cause although it could still wait, as a fraction of its own weight.
 */
const EARLY_DISRUPTION_FRACTION = 0.25;

/**
 * Last fraction of the caller's wait, in which a late long prompt takes any placement that disrupts
 * no stream.
 */
const FINAL_WAIT_FRACTION = 0.35;

const describePlacement = (
  placement: Placement,
  { targetLeftMs, unseenRequests }: PlacementInput,
): LogFields => ({
  helpers: placement.helpers.length,
  partMs: Math.round(placement.partMs),
  aimLeftMs: Math.round(targetLeftMs),
  writers: placement.load.writers,
  readers: placement.load.readers,
  readMs: Math.round(placement.load.readMs),
  unseen: unseenRequests,
  harmed: placement.disruption,
  isLate: placement.isLate,
  estimateMs: Math.round(placement.firstEventMs),
});

/** When the last part of the caller's wait begins, in which a late long prompt is placed. */
const findFinalWaitMs = ({ firstEventDeadlineMs, arrivedAtMs }: GatewayRecord): MonotonicMs =>
  firstEventDeadlineMs - FINAL_WAIT_FRACTION * (firstEventDeadlineMs - arrivedAtMs);

const isNearFirstEventDeadline = (record: GatewayRecord, nowMs: MonotonicMs): boolean =>
  nowMs >= findFinalWaitMs(record);

const hasIdleCapacity = ({ idleFraction, remainingIdleFraction }: Placement): boolean =>
  idleFraction >= LOW_LOAD_IDLE_FRACTION || remainingIdleFraction >= MIN_REMAINING_IDLE_FRACTION;

/**
 * Estimates the shortest time to the first event, on idle engines, in milliseconds; 0 for plain
 * services.
 *
 * @param engines engines that are available for the prefill
 */
export const estimateMinFirstEventMs = (
  { service, isLong, prefillMs }: GatewayRecord,
  engines: number,
): number => {
  if (service.engine === undefined) return 0;
  const prefillEngines = isLong ? Math.min(MAX_HELPERS + 1, engines) : 1;
  return prefillMs / prefillEngines + PASSES_TO_FIRST_EVENT * estimatePassMs(service.engine, 1, 0);
};

/**
 * Estimates for how long a request may still wait and meet its target latency, in milliseconds;
 * negative if it is late.
 */
const estimateSlackMs = (record: GatewayRecord, targetLeftMs: number, engines: number): number =>
  TARGET_BUDGET_FRACTION[record.isLong ? 'long' : 'short'] * targetLeftMs -
  estimateMinFirstEventMs(record, engines);

/** Estimates the decode time from the first event to the last one, in milliseconds. */
export const estimateDecodeMs = ({ service, request }: GatewayRecord): number => {
  if (service.engine === undefined) return 0;
  const passes = request.maxOutputTokens / service.engine.stepsPerPass;
  return passes * estimatePassMs(service.engine, 1, request.promptTokens);
};

export interface PlacementPolicyOptions {
  readonly context: GatewayContext;
  readonly availability: EndpointAvailability;
  readonly health: EndpointHealth;
  readonly fleetLoad: FleetLoadTracker;
  readonly reachability: DomainReachability;
  readonly limits: EndpointLimits;
  readonly permits: PermitHolder;
  readonly coldShares: ColdShares;
  /** Failure domain of this entry VM. */
  readonly failureDomain: FailureDomainId;
}

/**
 * Chooses the endpoints of a request from the registrations, the observed failures and the work of
 * all entry VMs.
 */
export class PlacementPolicy {
  constructor(private readonly options: PlacementPolicyOptions) {}

  /**
   * Decides where a request is placed. An endpoint with a limit gets it only if a permit is held, a cold one
   * only within this entry VM's share and if the others can't serve in time.
   *
   * @example
   * const decision = policy.decide(record);
   * if (decision.kind === 'place') permits.use(decision.endpoint.id);
   */
  decide(record: GatewayRecord): PlacementDecision {
    const available = this.listAvailable(record);
    if (available.length === 0) {
      const untilMs = this.options.availability.findOpeningMs(record.service.name);
      return untilMs === undefined ? { kind: 'noEndpoint' } : { kind: 'closed', untilMs };
    }
    const candidates = this.listCandidates(available);
    if (!candidates.some(({ isPermitted }) => isPermitted)) {
      return { kind: 'wait', permitMs: this.options.permits.findEarliestMs(available) };
    }
    // A cold endpoint without a share can take no part at all.
    const usable = candidates.filter(({ isCold, isPermitted }) => !isCold || isPermitted);
    return this.decideWarmFirst(record, usable);
  }

  /** Whether an endpoint may get the request that has not failed lately. */
  hasHealthy(record: GatewayRecord): boolean {
    const { health, context } = this.options;
    return this.listAvailable(record).some(({ id }) => !health.isEjected(id, context.nowMs));
  }

  /**
   * Lists the endpoints that may get the request once a permit for them is held, those of the own failure
   * domain first and otherwise in random order.
   */
  listLimited(record: GatewayRecord): GatewayEndpoint[] {
    const { limits, failureDomain, context } = this.options;
    if (limits.isEmpty) return [];
    return this.listAvailable(record)
      .filter(({ id }) => limits.find(id) !== undefined)
      .map((endpoint) => ({ endpoint, random: context.drawRandom() }))
      .sort(
        (a, b) =>
          Number(b.endpoint.failureDomain === failureDomain) -
            Number(a.endpoint.failureDomain === failureDomain) || a.random - b.random,
      )
      .map(({ endpoint }) => endpoint);
  }

  /**
   * Prefers warm endpoints, except for short prompts: those rank idle engines last anyway, and leave the warm
   * ones to long prompts, with which cold ones can't help.
   */
  private decideWarmFirst(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    const isShortPrompt = record.service.engine !== undefined && !record.isLong;
    const warm = candidates.filter(({ isCold }) => !isCold);
    const hasRoom = warm.some((candidate) => candidate.isPermitted && !isAtFillLimit(candidate));
    if (!isShortPrompt && hasRoom && warm.length < candidates.length) {
      const decision = this.decideAmong(record, warm);
      if (decision.kind === 'place' && decision.isOnTime) return decision;
    }
    return this.decideAmong(record, candidates);
  }

  private decideAmong(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    const local = this.prefersLocal(record) ? this.listLocal(candidates) : [];
    const localDecision = local.length > 0 ? this.decideFrom(record, local) : undefined;
    const isTaken =
      localDecision?.kind === 'place' && (record.hasLostEndpoint || localDecision.isOnTime);
    return isTaken ? localDecision : this.decideFrom(record, candidates);
  }

  /**
   * Whether endpoints of the own failure domain are tried first. After the loss of an endpoint a
   * network partition may make every endpoint of another domain unreachable. In a large fleet the load
   * on engines of other domains is known with a delay, so that many entry VMs would choose the same.
   */
  private prefersLocal({ hasLostEndpoint, service }: GatewayRecord): boolean {
    return (
      hasLostEndpoint ||
      (service.engine !== undefined && this.options.fleetLoad.peers.hasPeriodicPeers)
    );
  }

  private listLocal(candidates: readonly EngineCandidate[]): EngineCandidate[] {
    const { failureDomain } = this.options;
    return candidates.filter(({ endpoint }) => endpoint.failureDomain === failureDomain);
  }

  private decideFrom(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    if (record.service.engine === undefined) return this.decideReplica(candidates);
    return this.decideEngine(record, candidates);
  }

  private decideReplica(candidates: readonly EngineCandidate[]): PlacementDecision {
    const { context, failureDomain } = this.options;
    const permitted = candidates.filter(({ isPermitted }) => isPermitted);
    const endpoint = pickReplica(permitted, failureDomain, () => context.drawRandom());
    if (endpoint === undefined) return { kind: 'noEndpoint' };
    return {
      kind: 'place',
      isOnTime: true,
      endpoint,
      helpers: [],
      partMs: 0,
      memoryTokens: 0,
      placementFields: {},
    };
  }

  private decideEngine(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    const { nowMs } = this.options.context;
    const targetLeftMs = record.arrivedAtMs + record.route.targetLatencyMs - nowMs;
    const { prefillMs, memoryTokens, isLong } = record;
    const mayQueue = nowMs + MIN_SLACK_MS + prefillMs >= record.firstEventDeadlineMs;
    const splitTargetMs = this.estimateSplitTargetMs(record, targetLeftMs, candidates.length);
    const random = this.options.context.drawRandom();
    const unseenRequests = this.estimateUnseenRequests(candidates);
    const input = {
      prefillMs,
      memoryTokens,
      targetLeftMs,
      splitTargetMs,
      isLong,
      mayQueue,
      random,
      unseenRequests,
    };
    const placement = placeGeneration(input, candidates, record.service.engine!);
    if (
      placement === undefined ||
      !this.isAcceptable(record, placement, targetLeftMs, candidates.length)
    ) {
      return this.describeWait(record, placement, targetLeftMs, candidates.length);
    }
    const { endpoint, helpers, partMs, memoryTokens: primaryTokens } = placement;
    const placementFields = describePlacement(placement, input);
    return {
      kind: 'place',
      isOnTime: !placement.isLate && placement.disruption === 0,
      endpoint,
      helpers,
      partMs,
      memoryTokens: primaryTokens,
      placementFields,
    };
  }

  /**
   * Estimates how many requests other entry VMs may have placed on engines without this one knowing. In
   * a large fleet a snapshot to all peers of a domain takes a small link as long as a short prompt takes
   * to its first event: as many are unseen as are known to be in prefill, and one.
   */
  private estimateUnseenRequests(candidates: readonly EngineCandidate[]): number {
    if (!this.options.fleetLoad.peers.hasPeriodicPeers) return 0;
    return candidates.reduce((sum, { load }) => sum + load.readers - load.longReaders, 1);
  }

  /**
   * Estimates the wanted time to the first event of a long prompt, in milliseconds. A prompt that
   * can't meet its target may take longer, and so use fewer engines, within its caller's wait.
   */
  private estimateSplitTargetMs(
    record: GatewayRecord,
    targetLeftMs: number,
    engines: number,
  ): number {
    const mayMeetTarget =
      estimateMinFirstEventMs(record, engines) <= TARGET_BUDGET_FRACTION.long * targetLeftMs;
    if (mayMeetTarget) return SPLIT_TARGET_FRACTION * targetLeftMs;
    return LATE_SPLIT_WAIT_FRACTION * (record.firstEventDeadlineMs - this.options.context.nowMs);
  }

  /**
   * Whether a request takes a placement now instead of waiting. Under overload, requests that can
   * still meet their target go first: until shortly before its caller disconnects, a late request
   * takes no capacity that they could need.
   */
  private isAcceptable(
    record: GatewayRecord,
    placement: Placement,
    targetLeftMs: number,
    engines: number,
  ): boolean {
    const { disruption, isLate, firstEventMs } = placement;
    if (disruption === 0 && !isLate) return true;
    // The stream is being resumed: its caller has received a part, and waits for the next event no
    // longer than for any other.
    if (disruption === 0 && record.hasForwardedHead) return true;
    const { nowMs } = this.options.context;
    // The caller would disconnect before the first event, or before the last one.
    const endMs = nowMs + firstEventMs + estimateDecodeMs(record);
    if (nowMs + firstEventMs >= record.firstEventDeadlineMs || endMs >= record.deadlineMs)
      return false;
    const slackMs = estimateSlackMs(record, targetLeftMs, engines);
    const weight = record.memoryTokens / TOKENS_PER_STREAM_WEIGHT;
    const mayWait = slackMs > MIN_SLACK_MS;
    if (!isLate) return disruption <= (mayWait ? EARLY_DISRUPTION_FRACTION * weight : weight);
    if (mayWait) return false;
    if (disruption === 0 && (record.isLong ? hasIdleCapacity(placement) : !placement.isAtFillLimit))
      return true;
    if (record.isLong) return disruption === 0 && isNearFirstEventDeadline(record, nowMs);
    return disruption === 0 && nowMs + firstEventMs + MIN_SLACK_MS >= record.firstEventDeadlineMs;
  }

  /** Describes a wait; see `isAcceptable` for when late requests are placed. */
  // eslint-disable-next-line class-methods-use-this
  private describeWait(
    record: GatewayRecord,
    placement: Placement | undefined,
    targetLeftMs: number,
    engines: number,
  ): WaitDecision {
    const isOnTime =
      placement?.isLate === false || estimateSlackMs(record, targetLeftMs, engines) > MIN_SLACK_MS;
    if (isOnTime) return { kind: 'wait' };
    if (record.isLong) return { kind: 'wait', lateStartMs: findFinalWaitMs(record) };
    const firstEventMs = placement?.firstEventMs ?? estimateMinFirstEventMs(record, engines);
    const lateStartMs = record.firstEventDeadlineMs - firstEventMs - MIN_SLACK_MS;
    return { kind: 'wait', lateStartMs };
  }

  /**
   * Lists the endpoints that may get the request: those that are neither ejected nor unreachable
   * and have not failed the request. If there are none, all that have not failed the request are
   * listed; if there are none of these either, all that take requests.
   */
  private listAvailable(record: GatewayRecord): readonly GatewayEndpoint[] {
    const { nowMs } = this.options.context;
    const serving = this.options.availability.listOpen(record.service.name);
    const untried = serving.filter(({ id }) => !record.failedEndpoints.has(id));
    const unreachable = this.listUnreachable(untried);
    const healthy = untried.filter(
      ({ id, failureDomain }) =>
        !this.options.health.isEjected(id, nowMs) && !unreachable.has(failureDomain),
    );
    const fallback = untried.length > 0 ? untried : serving;
    return healthy.length > 0 ? healthy : fallback;
  }

  private listCandidates(endpoints: readonly GatewayEndpoint[]): EngineCandidate[] {
    const { fleetLoad, context, permits, coldShares } = this.options;
    const loads = fleetLoad.sumLoads(context.nowMs);
    return endpoints.map((endpoint) => ({
      endpoint,
      load: loads.get(endpoint.id) ?? IDLE_LOAD,
      isPermitted: permits.mayUse(endpoint.id),
      isCold: coldShares.isBounded(endpoint.id),
    }));
  }

  private listUnreachable(endpoints: readonly GatewayEndpoint[]): ReadonlySet<FailureDomainId> {
    const domains = new Set(endpoints.map(({ failureDomain }) => failureDomain));
    const { nowMs } = this.options.context;
    return new Set(
      [...domains].filter((domain) => this.options.reachability.isUnreachable(domain, nowMs)),
    );
  }
}
