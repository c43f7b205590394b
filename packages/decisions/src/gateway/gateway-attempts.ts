import type { GatewayEndpoint } from '@savorywind/model';
import { CONNECT_TIMEOUT_MS } from './consts.js';
import type { PlacedHelper } from './placement-estimates.js';
import type { FleetPicture, OwnWork } from './fleet-picture.js';
import type { GatewayContext } from './gateway-context.js';
import type { MemoryReservation } from './memory-reservations.js';
import { mayRunAgain, type GatewayAttempt, type GatewayRecord } from './request-record.js';
import type { ReadHelper } from './types.js';

/** Shortest silence after which an endpoint is taken to hang, in milliseconds. */
const MIN_SILENCE_MS = 1_000;

/** Silence of a call without events, in aims, after which the endpoint is taken to hang. */
const SILENCE_PER_CALL_AIM = 2;

/** Silence before the first event, in aims, after which the endpoint is taken to hang. */
const SILENCE_PER_AIM = 4;

/** Pause between events, in permitted pauses, after which the endpoint is taken to hang. */
const SILENCE_PER_GAP = 4;

/** Where an attempt goes, and who helps. */
export interface AttemptPlan {
  readonly endpoint: GatewayEndpoint;
  readonly helpers: readonly PlacedHelper[];
  /** Reading time of each part, in milliseconds. */
  readonly partMs: number;
  /** Memory at the endpoint itself. */
  readonly memoryTokens: number;
}

/** Reservations are filled in the order in which the helpers are listed. */
const listReadHelpers = (
  helpers: readonly PlacedHelper[],
  held: readonly MemoryReservation[],
): ReadHelper[] =>
  helpers.map(({ endpoint }) => ({
    address: endpoint.address,
    reservationId: held.find((item) => item.endpoint.id === endpoint.id)?.reservationId,
  }));

/** Gives requests to endpoints and keeps what they weigh there in the picture of the fleet. */
export class GatewayAttempts {
  private readonly records = new Map<string, GatewayRecord>();

  constructor(
    private readonly context: GatewayContext,
    private readonly picture: FleetPicture,
    private readonly onWorkChanged: () => void,
    private readonly onSilent: (record: GatewayRecord, attempt: GatewayAttempt) => void,
  ) {}

  /** The request whose present attempt has this id. */
  find(attemptId: string): GatewayRecord | undefined {
    return this.records.get(attemptId);
  }

  start(record: GatewayRecord, plan: AttemptPlan): void {
    const attempt: GatewayAttempt = {
      attemptId: this.context.createName(),
      endpoint: plan.endpoint,
      helpers: plan.helpers.map(({ endpoint }) => endpoint),
      work: this.addWork(record, plan),
      startedAtMs: this.context.nowMs,
      silenceTimer: undefined,
      hasHead: false,
      isHeld: false,
    };
    record.attempt = attempt;
    record.firstPlacedAtMs ??= this.context.nowMs;
    record.sends += 1;
    this.records.set(attempt.attemptId, record);
    this.emitStart(record, attempt, plan);
    this.armSilenceTimer(record, attempt, this.estimateSilenceMs(record, plan.partMs));
    this.onWorkChanged();
  }

  /** The first event is there, or another one: reading is over. */
  acceptEvent(record: GatewayRecord, attempt: GatewayAttempt): void {
    const [first, ...helpers] = attempt.work;
    if (first?.state === 'reading') {
      first.state = 'writing';
      // Helpers have read their parts; what they keep for the first engine stays counted.
      helpers.forEach((work) => this.finishReading(work));
      this.onWorkChanged();
    }
    this.armGapTimer(record, attempt);
  }

  /** An endpoint whose answer is held back for a slow reader is not silent. */
  acceptFlow(record: GatewayRecord, attempt: GatewayAttempt, flow: 'held' | 'flowing'): void {
    attempt.isHeld = flow === 'held';
    this.armGapTimer(record, attempt);
  }

  /** Forgets an attempt that has ended; what comes of it later reaches no caller. */
  detach(record: GatewayRecord): void {
    const { attempt } = record;
    if (attempt === undefined) return;
    attempt.silenceTimer?.cancel();
    attempt.work.forEach((work) => this.picture.removeOwn(work));
    this.records.delete(attempt.attemptId);
    record.attempt = undefined;
    this.onWorkChanged();
  }

  cancel(record: GatewayRecord): void {
    const { attempt } = record;
    if (attempt === undefined) return;
    this.context.emit({ kind: 'attempt.cancel', attemptId: attempt.attemptId });
    this.detach(record);
  }

  private finishReading(work: OwnWork): void {
    if (work.memoryTokens > 0) work.state = 'writing';
    else this.picture.removeOwn(work);
  }

  private addWork({ route, isLong }: GatewayRecord, plan: AttemptPlan): OwnWork[] {
    const { nowMs: startedAtMs } = this.context;
    const { endpoint, helpers, partMs, memoryTokens } = plan;
    const base = { startedAtMs, readMs: partMs, isLong, state: 'reading' as const };
    const first = { ...base, endpoint: endpoint.id, memoryTokens, gapMs: route.maxEventGapMs };
    const others = helpers.map((helper) => ({
      ...base,
      endpoint: helper.endpoint.id,
      memoryTokens: helper.reservedTokens,
      gapMs: undefined,
    }));
    const work: OwnWork[] = [first, ...others];
    work.forEach((item) => this.picture.addOwn(item));
    return work;
  }

  private emitStart(record: GatewayRecord, attempt: GatewayAttempt, plan: AttemptPlan): void {
    const { request, route, team, reservations } = record;
    const { attemptId, endpoint } = attempt;
    const timeoutMs = Math.max(1, Math.floor(record.deadlineMs - this.context.nowMs));
    this.context.emit({
      kind: 'attempt.start',
      attemptId,
      requestId: request.requestId,
      endpoint,
      team: team?.name,
      timeoutMs,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeoutMs),
      priority: undefined,
      lastEventId: record.lastEventId,
      helpers: listReadHelpers(plan.helpers, reservations?.held ?? []),
      connection: mayRunAgain(record) ? 'kept' : 'recent',
      delivery: route.kind === 'streaming' ? 'events' : 'whole',
    });
    record.trail.push({
      atMs: this.context.nowMs,
      fields: {
        request: request.callerAttempt,
        endpoint: endpoint.id,
        waitedMs: Math.round(this.context.nowMs - record.arrivedAtMs),
        ...record.basis,
        helpers: plan.helpers.map((helper) => helper.endpoint.id).join(' '),
      },
    });
  }

  // eslint-disable-next-line class-methods-use-this
  private estimateSilenceMs({ route }: GatewayRecord, partMs: number): number {
    if (route.kind !== 'streaming') return SILENCE_PER_CALL_AIM * route.targetLatencyMs;
    return Math.max(MIN_SILENCE_MS, SILENCE_PER_AIM * route.targetLatencyMs, 2 * partMs);
  }

  private armGapTimer(record: GatewayRecord, attempt: GatewayAttempt): void {
    const gapMs = record.route.maxEventGapMs ?? 0;
    this.armSilenceTimer(record, attempt, Math.max(MIN_SILENCE_MS, SILENCE_PER_GAP * gapMs));
  }

  private armSilenceTimer(record: GatewayRecord, attempt: GatewayAttempt, delayMs: number): void {
    attempt.silenceTimer?.cancel();
    if (attempt.isHeld || !mayRunAgain(record)) return;
    attempt.silenceTimer = this.context.schedule(delayMs, () => this.onSilent(record, attempt));
  }
}
