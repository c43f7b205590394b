import type {
  EngineSummary,
  EngineUsage,
  Engine,
  EntryVmId,
  MonotonicMs,
  RequestId,
} from '@savorywind/model';
import {
  CONFIRM_LIMIT_MS,
  FIRST_RATE,
  LIGHT_BACKLOG_MS,
  LIGHT_MEMORY_SHARE,
  PIPELINE_MS,
  REJECTED_PAUSE_MS,
} from './consts.js';
import type { Hold, PeerUsage, QueuedAsk } from './types.js';

/** Weight of a new value in a smoothed one. */
const SMOOTHING = 0.2;

const MIN_RATE = 0.1;

/** Free memory that is shown to peers, over what there is: they seldom all use it at once. */
const MEMORY_OVERCOMMIT = 2;

/** Room left for light requests that peers placed since they last told, as a share of memory. */
const MEMORY_MARGIN = 0.02;

/** Share of the credits that goes to all peers alike; the rest follows their demand. */
const EQUAL_SHARE = 0.5;

/** Chooses the ask to grant next, or none where one that does not fit yet must not be passed by. */
export type PickAsk = (
  asks: readonly QueuedAsk[],
  fits: (ask: QueuedAsk) => boolean,
) => QueuedAsk | undefined;

/**
 * What the home of an engine knows of it: single grants, the light work of each peer as told in the
 * last round, and who waits. All of it is soft state: peers tell it again, and what nobody confirms
 * is dropped, so that lost messages and a new home do no lasting harm.
 */
export class EngineAccount {
  readonly queue = new Map<RequestId, QueuedAsk>();

  private readonly holds = new Map<RequestId, Hold>();

  private readonly peers = new Map<EntryVmId, PeerUsage>();

  private rate = FIRST_RATE;

  private blockedUntilMs: MonotonicMs = 0;

  private lastPrefilledAtMs: MonotonicMs = 0;

  constructor(readonly engine: Engine) {}

  get isIdle(): boolean {
    return this.queue.size === 0 && this.holds.size === 0 && this.peers.size === 0;
  }

  findHold(requestId: RequestId): Hold | undefined {
    return this.holds.get(requestId);
  }

  /** Time until an ask could finish here, behind the grants that run and those that go ahead of it. */
  estimateFinishMs(
    ask: QueuedAsk,
    nowMs: MonotonicMs,
    goesAhead: (other: QueuedAsk) => boolean,
  ): number {
    let aheadMs = this.sumHeldHeavyMs(nowMs);
    this.queue.forEach((other) => {
      if (other !== ask && !other.light && goesAhead(other)) aheadMs += other.workMs;
    });
    return (aheadMs + ask.workMs) / this.rate + ask.decodeMs;
  }

  /** Grants what may start now, in the order of the picker; light and heavy ones don't block each other. */
  grantWaiting(pick: PickAsk, nowMs: MonotonicMs, notify: (ask: QueuedAsk) => void): void {
    if (this.queue.size === 0 || nowMs < this.blockedUntilMs) return;
    [true, false].forEach((light) => {
      for (;;) {
        if (!this.hasPrefillRoom(light, nowMs)) return;
        const band = [...this.queue.values()].filter((ask) => ask.light === light);
        const ask = pick(band, (candidate) => this.fitsMemory(candidate));
        if (ask === undefined) return;
        this.startHold(ask, nowMs);
        notify(ask);
      }
    });
  }

  acceptPrefilled(requestId: RequestId, nowMs: MonotonicMs): void {
    const hold = this.holds.get(requestId);
    if (hold === undefined || hold.prefilled) return;
    hold.prefilled = true;
    if (!hold.light) this.recordRate(hold, nowMs);
    this.lastPrefilledAtMs = nowMs;
  }

  /** Gives a slot or a place in the queue back; does nothing the second time. */
  release(requestId: RequestId, rejected: boolean, nowMs: MonotonicMs): void {
    this.queue.delete(requestId);
    if (this.holds.delete(requestId) && rejected) this.blockedUntilMs = nowMs + REJECTED_PAUSE_MS;
  }

  /** Takes a peer's light work as it stands between two rounds. */
  refreshUsage(
    peer: EntryVmId,
    lightBacklogMs: number,
    lightTokens: number,
    nowMs: MonotonicMs,
  ): void {
    const demandMs = this.peers.get(peer)?.demandMs ?? 0;
    this.peers.set(peer, { lightBacklogMs, lightTokens, demandMs, toldAtMs: nowMs });
  }

  /** What a peer tells replaces what it told before, and confirms the grants that it names. */
  acceptUsage(peer: EntryVmId, usage: EngineUsage, nowMs: MonotonicMs): void {
    const { lightBacklogMs, lightTokens, placedMs, held } = usage;
    const before = this.peers.get(peer)?.demandMs ?? placedMs;
    const demandMs = before + SMOOTHING * (placedMs - before);
    this.peers.set(peer, { lightBacklogMs, lightTokens, demandMs, toldAtMs: nowMs });
    held.forEach(({ requestId, tokens, prefilled }) => {
      const hold = this.holds.get(requestId);
      if (hold === undefined) this.adoptHold(peer, requestId, tokens, nowMs);
      else hold.confirmedAtMs = nowMs;
      if (prefilled) this.acceptPrefilled(requestId, nowMs);
    });
  }

  /** Drops what was not confirmed for a while. */
  dropUnconfirmed(nowMs: MonotonicMs): void {
    const untilMs = nowMs - CONFIRM_LIMIT_MS;
    this.peers.forEach(({ toldAtMs }, peer) => {
      if (toldAtMs < untilMs) this.peers.delete(peer);
    });
    this.holds.forEach(({ confirmedAtMs }, requestId) => {
      if (confirmedAtMs < untilMs) this.holds.delete(requestId);
    });
    this.queue.forEach(({ refreshedAtMs, deadlineMs }, requestId) => {
      if (refreshedAtMs < untilMs || deadlineMs <= nowMs) this.queue.delete(requestId);
    });
  }

  /** @param roundMs time until the next summary, over which credits have to last */
  createSummary(
    peer: EntryVmId,
    peerCount: number,
    roundMs: number,
    nowMs: MonotonicMs,
  ): EngineSummary {
    const own = this.peers.get(peer);
    const lightMs = this.sumLightBacklogMs();
    const share = this.findDemandShare(peer, peerCount);
    const ownTokens = own?.lightTokens ?? 0;
    const room =
      this.engine.memoryTokens - this.sumHeldTokens() - this.sumLightTokens() - this.findReserved();
    return {
      engine: this.engine.id,
      othersBacklogMs: Math.round(lightMs - (own?.lightBacklogMs ?? 0)),
      heavyBacklogMs: Math.round(this.sumHeavyBacklogMs(nowMs)),
      // Without room peers place nothing new, so that what they hold drains.
      freeTokens:
        room <= 0 ? 0 : Math.round(ownTokens + room * Math.min(1, MEMORY_OVERCOMMIT * share)),
      creditMs: Math.round(Math.max(0, LIGHT_BACKLOG_MS + roundMs - lightMs) * share),
    };
  }

  private adoptHold(
    peer: EntryVmId,
    requestId: RequestId,
    tokens: number,
    nowMs: MonotonicMs,
  ): void {
    this.queue.delete(requestId);
    this.holds.set(requestId, {
      peer,
      tokens,
      light: false,
      workMs: 0,
      startedAtMs: nowMs,
      confirmedAtMs: nowMs,
      prefilled: false,
    });
  }

  private recordRate({ workMs, startedAtMs }: Hold, nowMs: MonotonicMs): void {
    const tookMs = nowMs - Math.max(startedAtMs, this.lastPrefilledAtMs);
    if (workMs === 0 || tookMs <= 0) return;
    const rate = Math.min(1, Math.max(MIN_RATE, workMs / tookMs));
    this.rate += SMOOTHING * (rate - this.rate);
  }

  private startHold(ask: QueuedAsk, nowMs: MonotonicMs): void {
    const { peer, tokens, light, workMs } = ask;
    this.queue.delete(ask.requestId);
    this.holds.set(ask.requestId, {
      peer,
      tokens,
      light,
      workMs,
      startedAtMs: nowMs,
      confirmedAtMs: nowMs,
      prefilled: false,
    });
  }

  private hasPrefillRoom(light: boolean, nowMs: MonotonicMs): boolean {
    if (light) return this.sumLightBacklogMs() < LIGHT_BACKLOG_MS;
    return this.sumHeldHeavyMs(nowMs) < PIPELINE_MS;
  }

  private fitsMemory({ tokens, light }: QueuedAsk): boolean {
    const { memoryTokens } = this.engine;
    const heldTokens = this.sumHeldTokens();
    const lightTokens = this.sumLightTokens();
    const margin = lightTokens > 0 ? MEMORY_MARGIN * memoryTokens : 0;
    if (heldTokens + lightTokens + tokens + margin > memoryTokens) return false;
    // A prompt that takes nearly the whole engine is let in where no other one is held.
    return (
      light || heldTokens === 0 || heldTokens + tokens <= memoryTokens * (1 - LIGHT_MEMORY_SHARE)
    );
  }

  /** Room kept for a prompt that waits for nearly the whole engine, so that light ones go elsewhere. */
  private findReserved(): number {
    let reserved = 0;
    this.queue.forEach(({ tokens, light }) => {
      const large = tokens > this.engine.memoryTokens * (1 - LIGHT_MEMORY_SHARE);
      if (!light && large) reserved = Math.max(reserved, tokens);
    });
    return reserved;
  }

  private findDemandShare(peer: EntryVmId, peerCount: number): number {
    let sumMs = 0;
    this.peers.forEach(({ demandMs }) => {
      sumMs += demandMs;
    });
    const equal = 1 / Math.max(1, peerCount);
    if (sumMs === 0) return equal;
    const ownMs = this.peers.get(peer)?.demandMs ?? 0;
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * (ownMs / sumMs);
  }

  private sumLightBacklogMs(): number {
    let sumMs = 0;
    this.peers.forEach(({ lightBacklogMs }) => {
      sumMs += lightBacklogMs;
    });
    this.holds.forEach(({ light, prefilled, workMs }) => {
      if (light && !prefilled) sumMs += workMs;
    });
    return sumMs;
  }

  private sumLightTokens(): number {
    let sum = 0;
    this.peers.forEach(({ lightTokens }) => {
      sum += lightTokens;
    });
    return sum;
  }

  private sumHeldTokens(): number {
    let sum = 0;
    this.holds.forEach(({ tokens }) => {
      sum += tokens;
    });
    return sum;
  }

  /** Heavy work that was granted and, by the measured rate, is not done. */
  private sumHeldHeavyMs(nowMs: MonotonicMs): number {
    let sumMs = 0;
    this.holds.forEach(({ light, prefilled, workMs, startedAtMs }) => {
      if (light || prefilled) return;
      const doneMs = (nowMs - Math.max(startedAtMs, this.lastPrefilledAtMs)) * this.rate;
      // An overdue prompt is not read until its holder says so.
      sumMs += Math.max(2 * PIPELINE_MS * Number(doneMs < 2 * workMs), workMs - doneMs);
    });
    return sumMs;
  }

  private sumHeavyBacklogMs(nowMs: MonotonicMs): number {
    let sumMs = this.sumHeldHeavyMs(nowMs);
    this.queue.forEach(({ light, workMs }) => {
      if (!light) sumMs += workMs;
    });
    return sumMs;
  }
}
