import type { MonotonicMs } from '@savorywind/model';

const MS_PER_S = 1_000;

/** The bucket holds at most the refill of this time, in milliseconds. */
const MAX_REFILL_MS = 2_000;

/**
 * A token bucket whose level may become negative: a request of any size is admitted while the level
 * is positive, and the next one only after the debt has been refilled.
 */
export class DebtTokenBucket {
  private level: number | undefined;

  private refilledAtMs: MonotonicMs = 0;

  /**
   * Measures the time until a request can be admitted, in milliseconds; 0 if it can be admitted
   * now.
   *
   * @param ratePerS refill rate, in units a second
   */
  measureWaitMs(ratePerS: number, nowMs: MonotonicMs): number {
    const level = this.updateLevel(ratePerS, nowMs);
    return level > 0 ? 0 : Math.ceil(((1 - level) / ratePerS) * MS_PER_S);
  }

  take(amount: number): void {
    this.level = (this.level ?? 0) - amount;
  }

  private updateLevel(ratePerS: number, nowMs: MonotonicMs): number {
    const capacity = Math.max(1, (ratePerS * MAX_REFILL_MS) / MS_PER_S);
    const refill = (ratePerS * (nowMs - this.refilledAtMs)) / MS_PER_S;
    this.level = Math.min(capacity, (this.level ?? capacity) + refill);
    this.refilledAtMs = nowMs;
    return this.level;
  }
}
