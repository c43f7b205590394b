import type {
  EndpointId,
  EntryVmId,
  GatewayEndpoint,
  GatewayPeer,
  ServiceId,
} from '@savorywind/model';
import type { EndpointAvailability } from './availability/endpoint-availability.js';
import { CONNECT_TIMEOUT_MS } from './consts.js';
import type { PlacedHelper } from './placement/placement-estimates.js';
import type { ColdShares } from './permits/cold-shares.js';
import type { EndpointLimits } from './permits/endpoint-limits.js';
import type { FleetLoadTracker, LocalWork } from './fleet-load-tracker.js';
import type { GatewayContext } from './gateway-context.js';
import type { EndpointPaths } from './path/endpoint-paths.js';
import type { MemoryReservation } from './memory-reservations.js';
import { FORWARDED_STALL_MARGIN_MS } from './forwarding/consts.js';
import type { RequestForwarder } from './forwarding/request-forwarder.js';
import type { ForwardedFrom } from './forwarding/types.js';
import {
  mayRerun,
  type EndpointAttempt,
  type GatewayAttempt,
  type GatewayRecord,
  type PeerAttempt,
} from './request-record.js';
import type { WorkChanged } from './snapshot-sender.js';
import type { ConnectionChoice, PrefillHelper } from './types.js';

/**
 * Shortest time without data after which a stream's endpoint counts as stalled, in milliseconds.
 */
const MIN_STALL_TIMEOUT_MS = 1_000;

/** Stall timeout of a call without events, in multiples of the route's target latency. */
const CALL_STALL_TARGET_MULTIPLE = 2;

/** Stall timeout before a stream's first event, in multiples of the route's target latency. */
const FIRST_EVENT_STALL_TARGET_MULTIPLE = 4;

/** Stall timeout between a stream's events, in multiples of the permitted pause. */
const EVENT_STALL_GAP_MULTIPLE = 4;

/** The endpoint of an attempt and its prefill helpers. */
export interface AttemptPlan {
  readonly endpoint: GatewayEndpoint;
  readonly helpers: readonly PlacedHelper[];
  /** Prefill time of each engine's part, in milliseconds. */
  readonly partMs: number;
  /** KV cache used at `endpoint`, in tokens. */
  readonly memoryTokens: number;
}

/** Lists the helpers in the order in which the engine fills their reservations. */
const listPrefillHelpers = (
  helpers: readonly PlacedHelper[],
  held: readonly MemoryReservation[],
): PrefillHelper[] =>
  helpers.map(({ endpoint }) => ({
    address: endpoint.address,
    reservationId: held.find((item) => item.endpoint.id === endpoint.id)?.reservationId,
  }));

/**
 * Decides which connection an attempt uses. An endpoint may send a rejection twice, and the late copy names
 * the same request: on a connection of an earlier attempt it would pass for the rejection of this one.
 */
const decideConnection = (record: GatewayRecord, { id }: GatewayEndpoint): ConnectionChoice => {
  if (mayRerun(record)) return 'kept';
  return record.attemptedEndpoints.has(id) ? 'new' : 'recent';
};

export interface GatewayAttemptsOptions {
  readonly context: GatewayContext;
  /** Id of this entry VM. */
  readonly self: EntryVmId;
  readonly fleetLoad: FleetLoadTracker;
  readonly limits: EndpointLimits;
  readonly coldShares: ColdShares;
  readonly availability: EndpointAvailability;
  readonly paths: EndpointPaths;
  readonly forwarder: RequestForwarder;
  /** Called when an attempt starts, gets its first event or ends. */
  readonly onWorkChanged: WorkChanged;
  readonly onStalled: (record: GatewayRecord, attempt: GatewayAttempt) => void;
}

/**
 * Starts and cancels attempts at endpoints, detects stalled ones, and records the work of each
 * attempt in the fleet load.
 */
export class GatewayAttempts {
  private readonly records = new Map<string, GatewayRecord>();

  constructor(private readonly options: GatewayAttemptsOptions) {}

  /** Finds the request whose current attempt has this id. */
  find(attemptId: string): GatewayRecord | undefined {
    return this.records.get(attemptId);
  }

  start(record: GatewayRecord, plan: AttemptPlan): void {
    const attempt: EndpointAttempt = {
      target: 'endpoint',
      attemptId: this.options.context.createId(),
      endpoint: plan.endpoint,
      helpers: plan.helpers.map(({ endpoint }) => endpoint),
      work: this.addWork(record, plan),
      startedAtMs: this.options.context.nowMs,
      stallTimer: undefined,
      head: undefined,
      isPaused: false,
      provesSoundAtMs: undefined,
    };
    record.attempt = attempt;
    record.firstPlacedAtMs ??= this.options.context.nowMs;
    record.sends += 1;
    this.options.limits.recordAttempt(plan.endpoint.id);
    this.options.coldShares.recordAttempt(plan.endpoint.id);
    this.options.paths.find(record.service.name).recordAttempt();
    const involved = [attempt.endpoint, ...attempt.helpers];
    this.options.availability.recordStart(attempt.attemptId, involved);
    this.records.set(attempt.attemptId, record);
    this.emitStart(record, attempt, plan);
    record.attemptedEndpoints.add(plan.endpoint.id);
    this.armStallTimer(record, attempt, this.estimateStallTimeoutMs(record, plan.partMs));
    this.options.onWorkChanged(record.isLong ? involved : undefined);
  }

  /** Sends the request to a peer, which sends it to one endpoint. */
  forward(record: GatewayRecord, peer: GatewayPeer, version: number): void {
    const { context, forwarder } = this.options;
    const attempt: PeerAttempt = {
      target: 'peer',
      attemptId: context.createId(),
      peer,
      startedAtMs: context.nowMs,
      stallTimer: undefined,
      head: undefined,
      isPaused: false,
      provesSoundAtMs: undefined,
    };
    record.attempt = attempt;
    record.firstPlacedAtMs ??= context.nowMs;
    this.records.set(attempt.attemptId, record);
    forwarder.recordStart(record, peer.id);
    const timeoutMs = Math.max(1, Math.floor(record.deadlineMs - context.nowMs));
    context.emit({
      kind: 'attempt.forward',
      attemptId: attempt.attemptId,
      requestId: record.request.requestId,
      peer,
      forwardedFrom: this.describeForwarded(record, version),
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeoutMs),
      lastEventId: record.lastEventId,
      connection: mayRerun(record) ? 'kept' : 'new',
      delivery: record.route.kind === 'streaming' ? 'events' : 'whole',
    });
    const stallMs = this.estimateStallTimeoutMs(record, record.prefillMs);
    this.armStallTimer(record, attempt, stallMs + FORWARDED_STALL_MARGIN_MS);
  }

  /** Handles an event of the stream; the first one ends the prefill. */
  handleEvent(record: GatewayRecord, attempt: GatewayAttempt): void {
    const [primary, ...helpers] = attempt.target === 'endpoint' ? attempt.work : [];
    if (primary?.state === 'prefill') {
      primary.state = 'decode';
      // The helpers' prefill is finished; memory that they hold for the primary engine still
      // counts.
      helpers.forEach((work) => this.finishPrefill(work));
      this.options.onWorkChanged();
    }
    this.armGapTimer(record, attempt);
  }

  /** Suspends the stall timer while the response is paused because the caller reads slowly. */
  handleFlow(record: GatewayRecord, attempt: GatewayAttempt, flow: 'held' | 'flowing'): void {
    attempt.isPaused = flow === 'held';
    this.armGapTimer(record, attempt);
  }

  /** Removes an attempt that has ended; data that arrives for it later is dropped. */
  detach(record: GatewayRecord): void {
    const { attempt } = record;
    if (attempt === undefined) return;
    attempt.stallTimer?.cancel();
    this.records.delete(attempt.attemptId);
    record.attempt = undefined;
    if (attempt.target === 'peer') {
      this.options.forwarder.recordEnd(attempt.peer.id);
      return;
    }
    attempt.work.forEach((work) => this.options.fleetLoad.removeLocalWork(work));
    this.options.availability.recordEnd(attempt.attemptId);
    this.options.paths.find(record.service.name).recordAttemptEnd();
    this.options.onWorkChanged();
  }

  cancel(record: GatewayRecord): void {
    const { attempt } = record;
    if (attempt === undefined) return;
    this.options.context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId });
    this.detach(record);
  }

  /** Withdraws the attempts that involve certain endpoints, where their requests are not sent yet. */
  withdraw(matches: (endpoint: GatewayEndpoint) => boolean): void {
    this.listInvolving(matches)
      .filter(({ head }) => head === undefined)
      .forEach(({ attemptId }) =>
        this.options.context.emit({ kind: 'attempt.withdraw', attemptId }),
      );
  }

  /** Lists the attempts that certain endpoints take part in, as helpers too. */
  listInvolving(matches: (endpoint: GatewayEndpoint) => boolean): EndpointAttempt[] {
    return [...this.records.values()].flatMap(({ attempt }) =>
      attempt?.target === 'endpoint' && [attempt.endpoint, ...attempt.helpers].some(matches)
        ? [attempt]
        : [],
    );
  }

  /** Withdraws all attempts at endpoints of a service, where their requests are not sent yet. */
  withdrawAll(service: ServiceId): void {
    this.listAt(service).forEach(({ attempt }) => {
      if (attempt?.head !== undefined) return;
      this.options.context.emit({ kind: 'attempt.withdraw', attemptId: attempt!.attemptId });
    });
  }

  /** Lists the requests that are open at endpoints of a service. */
  listAt(service: ServiceId): GatewayRecord[] {
    return [...this.records.values()].filter(
      (record) => record.service.name === service && record.attempt?.target === 'endpoint',
    );
  }

  /** Lists the requests that were sent to an endpoint; those that it only helps with are missing. */
  listOf(endpoint: EndpointId): GatewayRecord[] {
    return [...this.records.values()].filter(
      ({ attempt }) => attempt?.target === 'endpoint' && attempt.endpoint.id === endpoint,
    );
  }

  private describeForwarded(record: GatewayRecord, version: number): ForwardedFrom {
    const { context, self } = this.options;
    return {
      by: self,
      version,
      elapsedMs: Math.max(0, Math.round(context.nowMs - record.arrivedAtMs)),
      hasBegun: record.hasForwardedHead,
      failedEndpoints: [...record.failedEndpoints],
    };
  }

  private finishPrefill(work: LocalWork): void {
    if (work.memoryTokens > 0) work.state = 'decode';
    else this.options.fleetLoad.removeLocalWork(work);
  }

  private addWork({ route, isLong }: GatewayRecord, plan: AttemptPlan): LocalWork[] {
    const { nowMs: startedAtMs } = this.options.context;
    const { endpoint, helpers, partMs, memoryTokens } = plan;
    const shared = { startedAtMs, prefillMs: partMs, isLong, state: 'prefill' as const };
    const primary = { ...shared, endpoint: endpoint.id, memoryTokens, gapMs: route.maxEventGapMs };
    const others = helpers.map((helper) => ({
      ...shared,
      endpoint: helper.endpoint.id,
      memoryTokens: helper.reservedTokens,
      gapMs: undefined,
    }));
    const work: LocalWork[] = [primary, ...others];
    work.forEach((item) => this.options.fleetLoad.addLocalWork(item));
    return work;
  }

  private emitStart(record: GatewayRecord, attempt: EndpointAttempt, plan: AttemptPlan): void {
    const { request, route, team, reservations } = record;
    const { attemptId, endpoint } = attempt;
    const timeoutMs = Math.max(1, Math.floor(record.deadlineMs - this.options.context.nowMs));
    this.options.context.emit({
      kind: 'attempt.start',
      attemptId,
      requestId: request.requestId,
      endpoint,
      team: team?.name,
      timeoutMs,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeoutMs),
      priority: undefined,
      lastEventId: record.lastEventId,
      helpers: listPrefillHelpers(plan.helpers, reservations?.held ?? []),
      connection: decideConnection(record, endpoint),
      delivery: route.kind === 'streaming' ? 'events' : 'whole',
    });
    record.placements.push({
      atMs: this.options.context.nowMs,
      fields: {
        request: request.callerAttempt,
        endpoint: endpoint.id,
        waitedMs: Math.round(this.options.context.nowMs - record.arrivedAtMs),
        ...record.placementFields,
        helpers: plan.helpers.map((helper) => helper.endpoint.id).join(' '),
      },
    });
  }

  // eslint-disable-next-line class-methods-use-this
  private estimateStallTimeoutMs({ route }: GatewayRecord, partMs: number): number {
    if (route.kind !== 'streaming') return CALL_STALL_TARGET_MULTIPLE * route.targetLatencyMs;
    return Math.max(
      MIN_STALL_TIMEOUT_MS,
      FIRST_EVENT_STALL_TARGET_MULTIPLE * route.targetLatencyMs,
      2 * partMs,
    );
  }

  private armGapTimer(record: GatewayRecord, attempt: GatewayAttempt): void {
    const gapMs = record.route.maxEventGapMs ?? 0;
    const marginMs = attempt.target === 'peer' ? FORWARDED_STALL_MARGIN_MS : 0;
    const stallMs = Math.max(MIN_STALL_TIMEOUT_MS, EVENT_STALL_GAP_MULTIPLE * gapMs);
    this.armStallTimer(record, attempt, stallMs + marginMs);
  }

  private armStallTimer(record: GatewayRecord, attempt: GatewayAttempt, delayMs: number): void {
    attempt.stallTimer?.cancel();
    if (attempt.isPaused || !mayRerun(record)) return;
    attempt.stallTimer = this.options.context.schedule(delayMs, () =>
      this.options.onStalled(record, attempt),
    );
  }
}
