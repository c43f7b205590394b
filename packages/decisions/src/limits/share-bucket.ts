import type { MonotonicMs } from '@savorywind/model';

const MS_PER_S = 1_000;

/** Time whose refill a bucket holds at the most, in milliseconds. */
const DEPTH_MS = 2_000;

/**
 * A token bucket that may run into debt: one large request is let in while anything is left, and
 * what it took beyond that is paid back before the next.
 */
export class ShareBucket {
  private level: number | undefined;

  private filledAtMs: MonotonicMs = 0;

  /** @param ratePerS refill of this entry VM's share */
  measureWaitMs(ratePerS: number, nowMs: MonotonicMs): number {
    const level = this.fill(ratePerS, nowMs);
    return level > 0 ? 0 : Math.ceil(((1 - level) / ratePerS) * MS_PER_S);
  }

  take(amount: number): void {
    this.level = (this.level ?? 0) - amount;
  }

  private fill(ratePerS: number, nowMs: MonotonicMs): number {
    const depth = Math.max(1, (ratePerS * DEPTH_MS) / MS_PER_S);
    const refill = (ratePerS * (nowMs - this.filledAtMs)) / MS_PER_S;
    this.level = Math.min(depth, (this.level ?? depth) + refill);
    this.filledAtMs = nowMs;
    return this.level;
  }
}
