import type { FailureDomainId, GatewayEndpoint, LogFields } from '@savorywind/model';
import type { EndpointHealth } from './endpoint-health.js';
import type { EndpointTable } from './endpoint-table.js';
import { placeGeneration, type EngineCandidate, type Placement } from './engine-placement.js';
import type { EngineLoad, FleetPicture } from './fleet-picture.js';
import type { GatewayContext } from './gateway-context.js';
import { pickReplica } from './replica-placement.js';
import type { GatewayRecord } from './request-record.js';

/** Where a request goes, or why it can't go anywhere now. */
export type PlacementDecision =
  | {
      readonly kind: 'place';
      readonly endpoint: GatewayEndpoint;
      readonly helpers: readonly GatewayEndpoint[];
      readonly partMs: number;
      /** What the choice was based on, for the log. */
      readonly basis: LogFields;
    }
  /** Better later: every engine is full, or streams would be spoilt that need not be. */
  | { readonly kind: 'wait' }
  /** No endpoint is there that could take it. */
  | { readonly kind: 'noEndpoint' };

const NO_LOAD: EngineLoad = {
  writers: 0,
  tightWriters: 0,
  tightGapMs: 0,
  readers: 0,
  readMs: 0,
  memoryTokens: 0,
};

/** Part of a request's time after which a place that disturbs others is better than none. */
const PATIENCE = 0.25;

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

/** Chooses endpoints by the registrations, what was seen of them, and the work of all entry VMs. */
export class PlacementDesk {
  constructor(
    private readonly context: GatewayContext,
    private readonly table: EndpointTable,
    private readonly health: EndpointHealth,
    private readonly picture: FleetPicture,
    private readonly failureDomain: FailureDomainId,
  ) {}

  decide(record: GatewayRecord): PlacementDecision {
    const candidates = this.listCandidates(record);
    if (candidates.length === 0) return { kind: 'noEndpoint' };
    if (record.service.engine === undefined) return this.decideReplica(candidates);
    return this.decideEngine(record, candidates);
  }

  private decideReplica(candidates: readonly EngineCandidate[]): PlacementDecision {
    const { context, failureDomain } = this;
    const endpoint = pickReplica(candidates, failureDomain, () => context.drawRandom());
    if (endpoint === undefined) return { kind: 'noEndpoint' };
    return { kind: 'place', endpoint, helpers: [], partMs: 0, basis: {} };
  }

  private decideEngine(
    record: GatewayRecord,
    candidates: readonly EngineCandidate[],
  ): PlacementDecision {
    const { nowMs } = this.context;
    const aimLeftMs = record.arrivedAtMs + record.route.targetLatencyMs - nowMs;
    const { readMs, memoryTokens, isLong } = record;
    const ask = { readMs, memoryTokens, aimLeftMs, isLong };
    const placement = placeGeneration(ask, candidates, record.service.engine!);
    if (placement === undefined) return { kind: 'wait' };
    const { endpoint, helpers, partMs } = placement;
    const waitedMs = nowMs - record.arrivedAtMs;
    const patienceMs = PATIENCE * (record.deadlineMs - record.arrivedAtMs);
    const mayWait = waitedMs < patienceMs && (placement.harmed > 0 || placement.isLate);
    return mayWait && placement.harmed > 0
      ? { kind: 'wait' }
      : { kind: 'place', endpoint, helpers, partMs, basis: describeBasis(placement, aimLeftMs) };
  }

  /** Endpoints that may get the request; those in trouble only where there is no other. */
  private listCandidates(record: GatewayRecord): EngineCandidate[] {
    const { nowMs } = this.context;
    const loads = this.picture.sumLoads(nowMs);
    const serving = this.table.listServing(record.service.name);
    const untried = serving.filter(({ id }) => !record.avoided.has(id));
    const sound = untried.filter(({ id }) => !this.health.isExcluded(id, nowMs));
    const fallback = untried.length > 0 ? untried : serving;
    return (sound.length > 0 ? sound : fallback).map((endpoint) => ({
      endpoint,
      load: loads.get(endpoint.id) ?? NO_LOAD,
    }));
  }
}
