import type {
  Engine,
  EngineSummary,
  EngineUsage,
  HeldSlot,
  MonotonicMs,
  RequestId,
} from '@savorywind/model';
import { MAX_LIGHT_BACKLOG_MS, SUMMARY_TTL_MS } from './consts.js';

/** An entry VM's view of an engine: the coordinator's last summary, and local work there. */
export class EngineView {
  /** Prefill work of this entry VM's light requests that are not prefilled, in milliseconds. */
  lightBacklogMs = 0;

  /** KV cache tokens of this entry VM's light requests. */
  lightTokens = 0;

  /** Prefill work of light requests placed since the last usage report. */
  private placedMs = 0;

  /** Prefill work of light requests placed since the last summary. */
  private spentCreditMs = 0;

  private readonly heldSlots = new Map<RequestId, HeldSlot>();

  private summary: EngineSummary | undefined;

  private summaryReceivedAtMs: MonotonicMs = -Infinity;

  /** Whether the last usage report was not empty; one empty report then follows. */
  private hasReportedUsage = false;

  constructor(readonly engine: Engine) {}

  handleSummary(summary: EngineSummary, nowMs: MonotonicMs): void {
    this.summary = summary;
    this.summaryReceivedAtMs = nowMs;
    this.spentCreditMs = 0;
  }

  /** Records that the engine refused a stream: no more is placed there until the next summary. */
  recordMemoryFull(nowMs: MonotonicMs): void {
    this.summaryReceivedAtMs = nowMs;
    this.summary = {
      engine: this.engine.id,
      othersBacklogMs: this.readOthersBacklogMs(nowMs),
      heavyBacklogMs: this.readHeavyBacklogMs(nowMs),
      freeTokens: 0,
      creditMs: 0,
    };
  }

  recordLightPlaced(prefillMs: number, tokens: number): void {
    this.lightBacklogMs += prefillMs;
    this.lightTokens += tokens;
    this.placedMs += prefillMs;
    this.spentCreditMs += prefillMs;
  }

  setHeldSlot(slot: HeldSlot): void {
    this.heldSlots.set(slot.requestId, slot);
  }

  removeHeldSlot(requestId: RequestId): void {
    this.heldSlots.delete(requestId);
  }

  /**
   * Light prefill work ahead of a new request: that of other entry VMs according to the last
   * summary, plus local work.
   */
  readBacklogMs(nowMs: MonotonicMs): number {
    return this.readOthersBacklogMs(nowMs) + this.lightBacklogMs;
  }

  /** Heavy backlog of the last summary, reduced by half of the time elapsed since. */
  readHeavyBacklogMs(nowMs: MonotonicMs): number {
    const summary = this.findSummary(nowMs);
    if (summary === undefined) return 0;
    return Math.max(0, summary.heavyBacklogMs - (nowMs - this.summaryReceivedAtMs) / 2);
  }

  /**
   * Whether a light request may be placed without asking the coordinator. Without a valid summary
   * the engine's capacity is divided equally among the peers.
   *
   * @param creditFraction fraction of the credits that the request may spend, from 0 to 1
   */
  hasCredit(
    tokens: number,
    peerCount: number,
    creditFraction: number,
    nowMs: MonotonicMs,
  ): boolean {
    const creditMs = this.findSummary(nowMs)?.creditMs ?? MAX_LIGHT_BACKLOG_MS / peerCount;
    const memoryLeft = this.readFreeTokens(peerCount, nowMs);
    return creditMs * creditFraction > this.spentCreditMs && memoryLeft >= tokens;
  }

  /** KV cache that this entry VM's light requests may still use, in tokens. */
  readFreeTokens(peerCount: number, nowMs: MonotonicMs): number {
    const { memoryTokens } = this.engine;
    const freeTokens = this.findSummary(nowMs)?.freeTokens ?? memoryTokens / peerCount;
    return Math.min(freeTokens, memoryTokens) - this.lightTokens;
  }

  /**
   * Returns the usage report for the coordinator and resets the work placed since the last one;
   * undefined if there is nothing to report.
   */
  takeUsage(): EngineUsage | undefined {
    const hasUsage = this.lightTokens > 0 || this.placedMs > 0 || this.heldSlots.size > 0;
    if (!hasUsage && !this.hasReportedUsage) return undefined;
    this.hasReportedUsage = hasUsage;
    const { placedMs } = this;
    this.placedMs = 0;
    return {
      engine: this.engine.id,
      lightBacklogMs: Math.round(this.lightBacklogMs),
      lightTokens: this.lightTokens,
      placedMs: Math.round(placedMs),
      held: [...this.heldSlots.values()],
    };
  }

  private readOthersBacklogMs(nowMs: MonotonicMs): number {
    const summary = this.findSummary(nowMs);
    if (summary === undefined) return 0;
    return summary.othersBacklogMs;
  }

  private findSummary(nowMs: MonotonicMs): EngineSummary | undefined {
    return nowMs - this.summaryReceivedAtMs < SUMMARY_TTL_MS ? this.summary : undefined;
  }
}
