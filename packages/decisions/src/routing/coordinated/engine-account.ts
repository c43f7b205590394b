import type {
  EngineSummary,
  EngineUsage,
  Engine,
  EntryVmId,
  MonotonicMs,
  RequestId,
} from '@savorywind/model';
import {
  UNCONFIRMED_TTL_MS,
  INITIAL_PREFILL_RATE,
  MAX_LIGHT_BACKLOG_MS,
  LIGHT_MEMORY_FRACTION,
  MAX_GRANTED_HEAVY_MS,
  REJECTION_BACKOFF_MS,
} from './consts.js';
import type { SlotGrant, PeerUsage, QueuedRequest } from './types.js';

/** Weight of a new value in exponential smoothing. */
const SMOOTHING_FACTOR = 0.2;

/** Lower bound of the measured prefill speed, relative to an idle engine. */
const MIN_PREFILL_RATE = 0.1;

/** Overcommit of the free memory offered to peers, who rarely use all of it at the same time. */
const MEMORY_OVERCOMMIT_FACTOR = 2;

/** Fraction of memory kept free for light requests that peers placed since their last report. */
const MEMORY_MARGIN_FRACTION = 0.02;

/** Fraction of the credits that is divided equally among peers; the rest follows their demand. */
const EQUAL_CREDIT_FRACTION = 0.5;

/**
 * Chooses the queued request to grant next; undefined if none fits, or if one that does not fit yet
 * must not be overtaken.
 */
export type PickRequest = (
  requests: readonly QueuedRequest[],
  fits: (request: QueuedRequest) => boolean,
) => QueuedRequest | undefined;

/**
 * State that the coordinator of an engine keeps about it: granted slots, the light work that each
 * peer last reported, and queued requests. All of it is soft state: peers report it repeatedly and
 * unconfirmed entries expire, so that the state recovers after lost messages and after a change of
 * the coordinator.
 */
export class EngineAccount {
  readonly queue = new Map<RequestId, QueuedRequest>();

  private readonly grants = new Map<RequestId, SlotGrant>();

  private readonly usageByPeer = new Map<EntryVmId, PeerUsage>();

  private prefillRate = INITIAL_PREFILL_RATE;

  private blockedUntilMs: MonotonicMs = 0;

  private lastPrefilledAtMs: MonotonicMs = 0;

  constructor(readonly engine: Engine) {}

  get isIdle(): boolean {
    return this.queue.size === 0 && this.grants.size === 0 && this.usageByPeer.size === 0;
  }

  findGrant(requestId: RequestId): SlotGrant | undefined {
    return this.grants.get(requestId);
  }

  /** Estimated time until a queued request finishes, behind all heavy work granted before it. */
  estimateFinishMs(
    request: QueuedRequest,
    nowMs: MonotonicMs,
    isGrantedBefore: (other: QueuedRequest) => boolean,
  ): number {
    let waitMs = this.sumGrantedHeavyMs(nowMs);
    this.queue.forEach((other) => {
      if (other !== request && !other.isLight && isGrantedBefore(other)) waitMs += other.prefillMs;
    });
    return (waitMs + request.prefillMs) / this.prefillRate + request.decodeMs;
  }

  /**
   * Grants all queued requests that may start now; light and heavy ones do not block each other.
   */
  grantQueued(
    pick: PickRequest,
    nowMs: MonotonicMs,
    onGranted: (request: QueuedRequest) => void,
  ): void {
    if (this.queue.size === 0 || nowMs < this.blockedUntilMs) return;
    [true, false].forEach((isLight) => {
      for (;;) {
        if (!this.hasPrefillCapacity(isLight, nowMs)) return;
        const candidates = [...this.queue.values()].filter(
          (request) => request.isLight === isLight,
        );
        const request = pick(candidates, (candidate) => this.fitsMemory(candidate));
        if (request === undefined) return;
        this.addGrant(request, nowMs);
        onGranted(request);
      }
    });
  }

  recordPrefilled(requestId: RequestId, nowMs: MonotonicMs): void {
    const grant = this.grants.get(requestId);
    if (grant === undefined || grant.isPrefilled) return;
    grant.isPrefilled = true;
    if (!grant.isLight) this.recordPrefillRate(grant, nowMs);
    this.lastPrefilledAtMs = nowMs;
  }

  /** Removes a grant or a queued request; does nothing if it is already removed. */
  release(requestId: RequestId, rejected: boolean, nowMs: MonotonicMs): void {
    this.queue.delete(requestId);
    if (this.grants.delete(requestId) && rejected)
      this.blockedUntilMs = nowMs + REJECTION_BACKOFF_MS;
  }

  /** Updates a peer's light work between two rounds; its demand stays as it is. */
  updateUsage(
    peer: EntryVmId,
    lightBacklogMs: number,
    lightTokens: number,
    nowMs: MonotonicMs,
  ): void {
    const demandMs = this.usageByPeer.get(peer)?.demandMs ?? 0;
    this.usageByPeer.set(peer, { lightBacklogMs, lightTokens, demandMs, reportedAtMs: nowMs });
  }

  /** Replaces the usage that a peer reported before, and confirms the grants that it lists. */
  handleUsageReport(peer: EntryVmId, usage: EngineUsage, nowMs: MonotonicMs): void {
    const { lightBacklogMs, lightTokens, placedMs, held } = usage;
    const previousDemandMs = this.usageByPeer.get(peer)?.demandMs ?? placedMs;
    const demandMs = previousDemandMs + SMOOTHING_FACTOR * (placedMs - previousDemandMs);
    this.usageByPeer.set(peer, { lightBacklogMs, lightTokens, demandMs, reportedAtMs: nowMs });
    held.forEach(({ requestId, tokens, prefilled: isPrefilled }) => {
      const grant = this.grants.get(requestId);
      if (grant === undefined) this.addReportedGrant(peer, requestId, tokens, nowMs);
      else grant.confirmedAtMs = nowMs;
      if (isPrefilled) this.recordPrefilled(requestId, nowMs);
    });
  }

  /** Removes entries that were not confirmed in time, and queued requests past their deadline. */
  expireUnconfirmed(nowMs: MonotonicMs): void {
    const oldestMs = nowMs - UNCONFIRMED_TTL_MS;
    this.usageByPeer.forEach(({ reportedAtMs }, peer) => {
      if (reportedAtMs < oldestMs) this.usageByPeer.delete(peer);
    });
    this.grants.forEach(({ confirmedAtMs }, requestId) => {
      if (confirmedAtMs < oldestMs) this.grants.delete(requestId);
    });
    this.queue.forEach(({ lastRequestedAtMs, deadlineMs }, requestId) => {
      if (lastRequestedAtMs < oldestMs || deadlineMs <= nowMs) this.queue.delete(requestId);
    });
  }

  /**
   * Creates the summary of the engine for one peer, with the memory and credits that it may use.
   *
   * @param roundMs time until the next summary, which the credits have to cover
   */
  createSummary(
    peer: EntryVmId,
    peerCount: number,
    roundMs: number,
    nowMs: MonotonicMs,
  ): EngineSummary {
    const usage = this.usageByPeer.get(peer);
    const lightMs = this.sumLightBacklogMs();
    const fraction = this.findDemandFraction(peer, peerCount);
    const peerTokens = usage?.lightTokens ?? 0;
    const availableTokens =
      this.engine.memoryTokens -
      this.sumGrantedTokens() -
      this.sumLightTokens() -
      this.findReservedTokens();
    return {
      engine: this.engine.id,
      othersBacklogMs: Math.round(lightMs - (usage?.lightBacklogMs ?? 0)),
      heavyBacklogMs: Math.round(this.sumHeavyBacklogMs(nowMs)),
      // Without free memory peers place nothing new until enough of their requests have ended.
      freeTokens:
        availableTokens <= 0
          ? 0
          : Math.round(
              peerTokens + availableTokens * Math.min(1, MEMORY_OVERCOMMIT_FACTOR * fraction),
            ),
      creditMs: Math.round(Math.max(0, MAX_LIGHT_BACKLOG_MS + roundMs - lightMs) * fraction),
    };
  }

  /** Adds a grant that a previous coordinator made, or that has expired here. */
  private addReportedGrant(
    peer: EntryVmId,
    requestId: RequestId,
    tokens: number,
    nowMs: MonotonicMs,
  ): void {
    this.queue.delete(requestId);
    this.grants.set(requestId, {
      peer,
      tokens,
      isLight: false,
      prefillMs: 0,
      startedAtMs: nowMs,
      confirmedAtMs: nowMs,
      isPrefilled: false,
    });
  }

  private recordPrefillRate({ prefillMs, startedAtMs }: SlotGrant, nowMs: MonotonicMs): void {
    const elapsedMs = nowMs - Math.max(startedAtMs, this.lastPrefilledAtMs);
    if (prefillMs === 0 || elapsedMs <= 0) return;
    const rate = Math.min(1, Math.max(MIN_PREFILL_RATE, prefillMs / elapsedMs));
    this.prefillRate += SMOOTHING_FACTOR * (rate - this.prefillRate);
  }

  private addGrant(request: QueuedRequest, nowMs: MonotonicMs): void {
    const { peer, tokens, isLight, prefillMs } = request;
    this.queue.delete(request.requestId);
    this.grants.set(request.requestId, {
      peer,
      tokens,
      isLight,
      prefillMs,
      startedAtMs: nowMs,
      confirmedAtMs: nowMs,
      isPrefilled: false,
    });
  }

  private hasPrefillCapacity(isLight: boolean, nowMs: MonotonicMs): boolean {
    if (isLight) return this.sumLightBacklogMs() < MAX_LIGHT_BACKLOG_MS;
    return this.sumGrantedHeavyMs(nowMs) < MAX_GRANTED_HEAVY_MS;
  }

  private fitsMemory({ tokens, isLight }: QueuedRequest): boolean {
    const { memoryTokens } = this.engine;
    const grantedTokens = this.sumGrantedTokens();
    const lightTokens = this.sumLightTokens();
    const margin = lightTokens > 0 ? MEMORY_MARGIN_FRACTION * memoryTokens : 0;
    if (grantedTokens + lightTokens + tokens + margin > memoryTokens) return false;
    // A prompt that needs nearly all memory is granted only while no other grant exists.
    return (
      isLight ||
      grantedTokens === 0 ||
      grantedTokens + tokens <= memoryTokens * (1 - LIGHT_MEMORY_FRACTION)
    );
  }

  /**
   * Memory reserved for a queued prompt that needs nearly all of it; light requests go elsewhere.
   */
  private findReservedTokens(): number {
    let reservedTokens = 0;
    this.queue.forEach(({ tokens, isLight }) => {
      const isLarge = tokens > this.engine.memoryTokens * (1 - LIGHT_MEMORY_FRACTION);
      if (!isLight && isLarge) reservedTokens = Math.max(reservedTokens, tokens);
    });
    return reservedTokens;
  }

  /** Fraction of the engine's light capacity that a peer is offered. */
  private findDemandFraction(peer: EntryVmId, peerCount: number): number {
    let sumMs = 0;
    this.usageByPeer.forEach(({ demandMs }) => {
      sumMs += demandMs;
    });
    const equalFraction = 1 / Math.max(1, peerCount);
    if (sumMs === 0) return equalFraction;
    const peerMs = this.usageByPeer.get(peer)?.demandMs ?? 0;
    return EQUAL_CREDIT_FRACTION * equalFraction + (1 - EQUAL_CREDIT_FRACTION) * (peerMs / sumMs);
  }

  private sumLightBacklogMs(): number {
    let sumMs = 0;
    this.usageByPeer.forEach(({ lightBacklogMs }) => {
      sumMs += lightBacklogMs;
    });
    this.grants.forEach(({ isLight, isPrefilled, prefillMs }) => {
      if (isLight && !isPrefilled) sumMs += prefillMs;
    });
    return sumMs;
  }

  private sumLightTokens(): number {
    let sum = 0;
    this.usageByPeer.forEach(({ lightTokens }) => {
      sum += lightTokens;
    });
    return sum;
  }

  private sumGrantedTokens(): number {
    let sum = 0;
    this.grants.forEach(({ tokens }) => {
      sum += tokens;
    });
    return sum;
  }

  /** Granted heavy prefill work that is not complete, as estimated from the measured speed. */
  private sumGrantedHeavyMs(nowMs: MonotonicMs): number {
    let sumMs = 0;
    this.grants.forEach(({ isLight, isPrefilled, prefillMs, startedAtMs }) => {
      if (isLight || isPrefilled) return;
      const doneMs = (nowMs - Math.max(startedAtMs, this.lastPrefilledAtMs)) * this.prefillRate;
      // An overdue prompt still counts as unfinished until its holder reports the end of prefill. It
      // thus delays the next grant for up to twice its estimated prefill time.
      sumMs += Math.max(
        2 * MAX_GRANTED_HEAVY_MS * Number(doneMs < 2 * prefillMs),
        prefillMs - doneMs,
      );
    });
    return sumMs;
  }

  private sumHeavyBacklogMs(nowMs: MonotonicMs): number {
    let sumMs = this.sumGrantedHeavyMs(nowMs);
    this.queue.forEach(({ isLight, prefillMs }) => {
      if (!isLight) sumMs += prefillMs;
    });
    return sumMs;
  }
}
