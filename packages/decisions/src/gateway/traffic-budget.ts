import type { MonotonicMs } from '@savorywind/model';

/**
 * Limits the mean rate of one kind of traffic. What is sent uses up the budget for the time that it
 * takes at that rate, and the next may be sent after it.
 *
 * @example
 * const budget = new TrafficBudget(175);
 * budget.take(3_500, nowMs); // budget.availableAtMs is 20 ms later
 */
export class TrafficBudget {
  private nextAtMs = Number.NEGATIVE_INFINITY;

  /** @param bytesPerMs permitted mean rate, in bytes per millisecond */
  constructor(private bytesPerMs: number) {}

  /** When something may be sent again. */
  get availableAtMs(): MonotonicMs {
    return this.nextAtMs;
  }

  changeRate(bytesPerMs: number): void {
    this.bytesPerMs = bytesPerMs;
  }

  take(bytes: number, nowMs: MonotonicMs): void {
    this.nextAtMs = Math.max(this.nextAtMs, nowMs) + bytes / this.bytesPerMs;
  }
}
