/** Smaller differences between wall clock and monotonic clock count as drift, in milliseconds. */
const MIN_SUSPENSION_MS = 50;

/**
 * Measures elapsed time including suspensions of the process, during which the monotonic clock does
 * not advance. Each reading compares the progress of the wall clock and the monotonic clock. If the
 * wall clock advanced further, the process was suspended or the wall clock was set forward; both
 * count as elapsed time. Setting the wall clock back has no effect.
 *
 * @example
 * const clock = new ElapsedClock();
 * clock.readMs(); // milliseconds, never decreasing
 */
export class ElapsedClock {
  private suspendedMs = 0;

  private reportedSuspendedMs = 0;

  private lastMonotonicMs = performance.now();

  private lastWallClockMs = Date.now();

  readMs(): number {
    const monotonicMs = performance.now();
    const wallClockMs = Date.now();
    const aheadMs = wallClockMs - this.lastWallClockMs - (monotonicMs - this.lastMonotonicMs);
    if (aheadMs > MIN_SUSPENSION_MS) this.suspendedMs += aheadMs;
    this.lastMonotonicMs = monotonicMs;
    this.lastWallClockMs = wallClockMs;
    return monotonicMs + this.suspendedMs;
  }

  /** Returns the suspended time since the last call of this method, in milliseconds. */
  takeSuspendedMs(): number {
    this.readMs();
    const suspendedMs = this.suspendedMs - this.reportedSuspendedMs;
    this.reportedSuspendedMs = this.suspendedMs;
    return suspendedMs;
  }
}
