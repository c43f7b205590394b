import type {
  Engine,
  EngineSummary,
  EngineUsage,
  HeldSlot,
  MonotonicMs,
  RequestId,
} from '@savorywind/model';
import { LIGHT_BACKLOG_MS, SUMMARY_LIMIT_MS } from './consts.js';

/** What an entry VM knows of an engine: its home's last summary, and its own work there. */
export class EngineView {
  /** Own light requests whose prompt is not read, in milliseconds of work. */
  lightBacklogMs = 0;

  lightTokens = 0;

  /** Spent since the last summary. */
  private placedMs = 0;

  private spentMs = 0;

  private readonly held = new Map<RequestId, HeldSlot>();

  private summary: EngineSummary | undefined;

  private summaryAtMs: MonotonicMs = -Infinity;

  /** Whether the home has been told of work that has ended since. */
  private toldBusy = false;

  constructor(readonly engine: Engine) {}

  acceptSummary(summary: EngineSummary, nowMs: MonotonicMs): void {
    this.summary = summary;
    this.summaryAtMs = nowMs;
    this.spentMs = 0;
  }

  /** The engine refused a stream: until the next summary nothing more is placed there. */
  markFull(nowMs: MonotonicMs): void {
    this.summaryAtMs = nowMs;
    this.summary = {
      engine: this.engine.id,
      othersBacklogMs: this.readOthersBacklogMs(nowMs),
      heavyBacklogMs: this.readHeavyBacklogMs(nowMs),
      freeTokens: 0,
      creditMs: 0,
    };
  }

  placeLight(workMs: number, tokens: number): void {
    this.lightBacklogMs += workMs;
    this.lightTokens += tokens;
    this.placedMs += workMs;
    this.spentMs += workMs;
  }

  holdSlot(slot: HeldSlot): void {
    this.held.set(slot.requestId, slot);
  }

  dropSlot(requestId: RequestId): void {
    this.held.delete(requestId);
  }

  /** Light work ahead of a new request: others' by the last summary, and this entry VM's own. */
  readBacklogMs(nowMs: MonotonicMs): number {
    return this.readOthersBacklogMs(nowMs) + this.lightBacklogMs;
  }

  readHeavyBacklogMs(nowMs: MonotonicMs): number {
    const summary = this.findSummary(nowMs);
    if (summary === undefined) return 0;
    return Math.max(0, summary.heavyBacklogMs - (nowMs - this.summaryAtMs) / 2);
  }

  /** @param part of the credits that the request may spend, from 0 to 1 */
  hasCredit(tokens: number, peerCount: number, part: number, nowMs: MonotonicMs): boolean {
    const summary = this.findSummary(nowMs);
    const creditMs = summary?.creditMs ?? LIGHT_BACKLOG_MS / peerCount;
    const freeTokens = summary?.freeTokens ?? this.engine.memoryTokens / peerCount;
    const memoryLeft = Math.min(freeTokens, this.engine.memoryTokens) - this.lightTokens;
    return creditMs * part > this.spentMs && memoryLeft >= tokens;
  }

  /** What the home is told in a round, or undefined where there is nothing to tell. */
  takeUsage(): EngineUsage | undefined {
    const busy = this.lightTokens > 0 || this.placedMs > 0 || this.held.size > 0;
    if (!busy && !this.toldBusy) return undefined;
    this.toldBusy = busy;
    const { placedMs } = this;
    this.placedMs = 0;
    return {
      engine: this.engine.id,
      lightBacklogMs: Math.round(this.lightBacklogMs),
      lightTokens: this.lightTokens,
      placedMs: Math.round(placedMs),
      held: [...this.held.values()],
    };
  }

  private readOthersBacklogMs(nowMs: MonotonicMs): number {
    const summary = this.findSummary(nowMs);
    if (summary === undefined) return 0;
    return summary.othersBacklogMs;
  }

  private findSummary(nowMs: MonotonicMs): EngineSummary | undefined {
    return nowMs - this.summaryAtMs < SUMMARY_LIMIT_MS ? this.summary : undefined;
  }
}
