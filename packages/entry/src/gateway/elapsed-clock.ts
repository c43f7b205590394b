/** A jump of the time of day past this, in milliseconds, is a freeze and not the clock's drift. */
const FREEZE_MS = 50;

/**
 * Elapsed time that also counts while the process is frozen, in which the steady clock stands still.
 * Each reading compares how far the time of day and the steady clock went: where the time of day went
 * further, the process was frozen, or the time of day was set forward; both lengthen the elapsed
 * time. The time of day that is set back shortens nothing.
 *
 * @example
 * const clock = new ElapsedClock();
 * clock.readMs(); // milliseconds, never falling
 */
export class ElapsedClock {
  private frozenMs = 0;

  private reportedMs = 0;

  private steadyMs = performance.now();

  private timeOfDayMs = Date.now();

  readMs(): number {
    const steadyMs = performance.now();
    const timeOfDayMs = Date.now();
    const lostMs = timeOfDayMs - this.timeOfDayMs - (steadyMs - this.steadyMs);
    if (lostMs > FREEZE_MS) this.frozenMs += lostMs;
    this.steadyMs = steadyMs;
    this.timeOfDayMs = timeOfDayMs;
    return steadyMs + this.frozenMs;
  }

  /** Time that the steady clock has not counted since this was last asked, in milliseconds. */
  takeLostMs(): number {
    this.readMs();
    const lostMs = this.frozenMs - this.reportedMs;
    this.reportedMs = this.frozenMs;
    return lostMs;
  }
}
