import type { MonotonicMs } from '@savorywind/model';

/**
 * Limits how long credentials are accepted without confirmation by the store. The lease runs from
 * the time at which the last confirmed query was sent, and time in which the process was suspended
 * counts as elapsed.
 */
export class CredentialLease {
  private confirmedAtMs: MonotonicMs | undefined;

  constructor(private durationMs: number) {}

  changeDuration(durationMs: number): void {
    this.durationMs = durationMs;
  }

  renew(requestedAtMs: MonotonicMs): void {
    if (this.confirmedAtMs === undefined || requestedAtMs > this.confirmedAtMs) {
      this.confirmedAtMs = requestedAtMs;
    }
  }

  /** Ends the lease: what confirmed it was outdated. */
  clear(): void {
    this.confirmedAtMs = undefined;
  }

  /** Counts time that the clock missed, such as a suspension of the process. */
  addLostTime(lostMs: number): void {
    if (this.confirmedAtMs !== undefined) this.confirmedAtMs -= lostMs;
  }

  isValid(nowMs: MonotonicMs): boolean {
    return this.confirmedAtMs !== undefined && nowMs - this.confirmedAtMs < this.durationMs;
  }

  /** End of the lease; undefined before the first confirmation. */
  get endsAtMs(): MonotonicMs | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.confirmedAtMs + this.durationMs;
  }
}
