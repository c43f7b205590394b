import type { FailureDomainId, GatewayEndpoint, LogFields, MonotonicMs } from '@savorywind/model';
import { MAX_HELPERS } from './consts.js';
import type { EndpointHealth } from './endpoint-health.js';
import type { DomainReach } from './domain-reach.js';
import type { EndpointTable } from './endpoint-table.js';
import { estimatePassMs } from './engine-costs.js';
import { placeGeneration } from './engine-placement.js';
import { createLoad, type FleetPicture } from './fleet-picture.js';
import type { GatewayContext } from './gateway-context.js';
import { pickReplica } from './replica-placement.js';
import {
  AIM_HEADROOM,
  PASSES_TO_FIRST_EVENT,
  TOKENS_PER_WEIGHT,
  type EngineCandidate,
  type PlacedHelper,
  type Placement,
} from './placement-estimates.js';
import type { GatewayRecord } from './request-record.js';

/** Where a request goes, or why it can't go anywhere now. */
export type PlacementDecision =
  | {
      readonly kind: 'place';
      readonly endpoint: GatewayEndpoint;
      readonly helpers: readonly PlacedHelper[];
      readonly partMs: number;
      /** Memory at the first endpoint. */
      readonly memoryTokens: number;
      /** What the choice was based on, for the log. */
      readonly basis: LogFields;
    }
  /** Better later: every engine is full, or streams would be spoilt that need not be. */
  | { readonly kind: 'wait' }
  /** No endpoint is there that could take it. */
  | { readonly kind: 'noEndpoint' };

const NO_LOAD = createLoad();

/** A request that may still find a better place waits for it until so much of its time is left. */
const LAST_MOMENT_MS = 100;

/** Part of its aim up to which more engines read a long prompt. */
const SPREAD_HEADROOM = 0.45;

/** Part of its caller's patience up to which more engines read a long prompt that is late. */
const LATE_SPREAD_HEADROOM = 0.5;

/** Share of engines that must stay idle where a long prompt that is late is read: others may come. */
const SPARE_SHARE = 0.5;

/** Share of engines without work from which on there is little else that they could be needed for. */
const MOSTLY_IDLE_SHARE = 0.85;

/** Share of its weight up to which a prompt disturbs others at once, rather than wait. */
const CHEAP_HARM = 0.25;

/** Last part of its caller's patience, in which a late prompt takes any place that disturbs none. */
const LAST_PART = 0.35;

const describeBasis = (placement: Placement, aimLeftMs: number): LogFields => ({
  helpers: placement.helpers.length,
  partMs: Math.round(placement.partMs),
  aimLeftMs: Math.round(aimLeftMs),
  writers: placement.load.writers,
  readers: placement.load.readers,
  readMs: Math.round(placement.load.readMs),
  harmed: placement.harmed,
  isLate: placement.isLate,
  estimateMs: Math.round(placement.firstEventMs),
});

const isInLastPart = (record: GatewayRecord, nowMs: MonotonicMs): boolean =>
  record.patienceEndMs - nowMs <= LAST_PART * (record.patienceEndMs - record.arrivedAtMs);

const hasSpare = ({ idleShare, spareShare }: Placement): boolean =>
  idleShare >= MOSTLY_IDLE_SHARE || spareShare >= SPARE_SHARE;

/** Shortest time to the first event, on engines that do nothing else, in milliseconds. */
export const estimateLeastMs = (
  { service, isLong, readMs }: GatewayRecord,
  engines: number,
): number => {
  if (service.engine === undefined) return 0;
  const readers = isLong ? Math.min(MAX_HELPERS + 1, engines) : 1;
  return readMs / readers + PASSES_TO_FIRST_EVENT * estimatePassMs(service.engine, 1, 0);
};

/** Time from the first event to the last one, in milliseconds. */
const estimateWriteMs = ({ service, request }: GatewayRecord): number => {
  if (service.engine === undefined) return 0;
  const passes = request.maxOutputTokens / service.engine.stepsPerPass;
  return passes * estimatePassMs(service.engine, 1, request.promptTokens);
};

export interface PlacementDeskOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  readonly health: EndpointHealth;
  readonly picture: FleetPicture;
  readonly reach: DomainReach;
  /** That of this entry VM. */
  readonly failureDomain: FailureDomainId;
}

/** Chooses endpoints by the registrations, what was seen of them, and the work of all entry VMs. */
export class PlacementDesk {
  constructor(private readonly options: PlacementDeskOptions) {}

  decide(record: GatewayRecord): PlacementDecision {
    const candidates = this.listCandidates(record);
    if (candidates.length === 0) return { kind: 'noEndpoint' };
    const near = record.lostEndpoint ? this.filterOwnDomain(candidates) : [];
    const nearby = near.length > 0 ? this.decideAmong(record, near) : undefined;
    return nearby?.kind === 'place' ? nearby : this.decideAmong(record, candidates);
  }

  /** What lost one endpoint may lose all of other domains: the way to those of the own is short. */
  private filterOwnDomain(candidates: readonly EngineCandidate[]): EngineCandidate[] {
    const { failureDomain } = this.options;
    return candidates.filter(({ endpoint }) => endpoint.failureDomain === failureDomain);
  }

  private decideAmong(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    if (record.service.engine === undefined) return this.decideReplica(candidates);
    return this.decideEngine(record, candidates);
  }

  private decideReplica(candidates: readonly EngineCandidate[]): PlacementDecision {
    const { context, failureDomain } = this.options;
    const endpoint = pickReplica(candidates, failureDomain, () => context.drawRandom());
    if (endpoint === undefined) return { kind: 'noEndpoint' };
    return { kind: 'place', endpoint, helpers: [], partMs: 0, memoryTokens: 0, basis: {} };
  }

  private decideEngine(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    const { nowMs } = this.options.context;
    const aimLeftMs = record.arrivedAtMs + record.route.targetLatencyMs - nowMs;
    const { readMs, memoryTokens, isLong } = record;
    const mayQueue = nowMs + LAST_MOMENT_MS + readMs >= record.patienceEndMs;
    const spreadMs = this.estimateSpreadMs(record, aimLeftMs, candidates.length);
    const lot = this.options.context.drawRandom();
    const ask = { readMs, memoryTokens, aimLeftMs, spreadMs, isLong, mayQueue, lot };
    const placement = placeGeneration(ask, candidates, record.service.engine!);
    if (
      placement === undefined ||
      !this.isAcceptable(record, placement, aimLeftMs, candidates.length)
    ) {
      return { kind: 'wait' };
    }
    const { endpoint, helpers, partMs, memoryTokens: ownTokens } = placement;
    const basis = describeBasis(placement, aimLeftMs);
    return { kind: 'place', endpoint, helpers, partMs, memoryTokens: ownTokens, basis };
  }

  /** A long prompt that can't be in time any more is read by few engines, within the patience. */
  private estimateSpreadMs(record: GatewayRecord, aimLeftMs: number, engines: number): number {
    const mayBeInTime = estimateLeastMs(record, engines) <= AIM_HEADROOM.long * aimLeftMs;
    if (mayBeInTime) return SPREAD_HEADROOM * aimLeftMs;
    return LATE_SPREAD_HEADROOM * (record.patienceEndMs - this.options.context.nowMs);
  }

  /**
   * Under more load than the engines bear, requests that can still be in time go first: one that is
   * late takes no place that they could need until its caller is about to leave.
   */
  private isAcceptable(
    record: GatewayRecord,
    placement: Placement,
    aimLeftMs: number,
    engines: number,
  ): boolean {
    const { harmed, isLate, firstEventMs } = placement;
    if (harmed === 0 && !isLate) return true;
    // A stream that broke: its caller has a part and waits no longer than for any event.
    if (harmed === 0 && record.headPassed) return true;
    const { nowMs } = this.options.context;
    // The caller would leave before its first event, or before the last one.
    const endMs = nowMs + firstEventMs + estimateWriteMs(record);
    if (nowMs + firstEventMs >= record.patienceEndMs || endMs >= record.deadlineMs) return false;
    const headroom = AIM_HEADROOM[record.isLong ? 'long' : 'short'];
    const slackMs = headroom * aimLeftMs - estimateLeastMs(record, engines);
    const weight = record.memoryTokens / TOKENS_PER_WEIGHT;
    const mayWait = slackMs > LAST_MOMENT_MS;
    if (!isLate) return harmed <= (mayWait ? CHEAP_HARM * weight : weight);
    if (mayWait) return false;
    if (harmed === 0 && (record.isLong ? hasSpare(placement) : !placement.isPacked)) return true;
    if (record.isLong) return harmed === 0 && isInLastPart(record, nowMs);
    return harmed === 0 && nowMs + firstEventMs + LAST_MOMENT_MS >= record.patienceEndMs;
  }

  /** Endpoints that may get the request; those in trouble only where there is no other. */
  private listCandidates(record: GatewayRecord): EngineCandidate[] {
    const { nowMs } = this.options.context;
    const loads = this.options.picture.sumLoads(nowMs);
    const serving = this.options.table.listServing(record.service.name);
    const untried = serving.filter(({ id }) => !record.avoided.has(id));
    const cutOff = this.listCutOff(untried);
    const sound = untried.filter(
      ({ id, failureDomain }) =>
        !this.options.health.isExcluded(id, nowMs) && !cutOff.has(failureDomain),
    );
    const fallback = untried.length > 0 ? untried : serving;
    return (sound.length > 0 ? sound : fallback).map((endpoint) => ({
      endpoint,
      load: loads.get(endpoint.id) ?? NO_LOAD,
    }));
  }

  private listCutOff(endpoints: readonly GatewayEndpoint[]): ReadonlySet<FailureDomainId> {
    const domains = new Set(endpoints.map(({ failureDomain }) => failureDomain));
    const { nowMs } = this.options.context;
    return new Set([...domains].filter((domain) => this.options.reach.isCutOff(domain, nowMs)));
  }
}
