import type { MonotonicMs } from '@savorywind/model';

/**
 * For how long credentials may be trusted without asking the store again. A credential counts only
 * while an answer whose question left less than the freshness ago has confirmed the configuration.
 * Time in which the process was frozen is taken off.
 */
export class CredentialLease {
  private confirmedAtMs: MonotonicMs | undefined;

  constructor(private durationMs: number) {}

  changeDuration(durationMs: number): void {
    this.durationMs = durationMs;
  }

  renew(askedAtMs: MonotonicMs): void {
    if (this.confirmedAtMs === undefined || askedAtMs > this.confirmedAtMs) {
      this.confirmedAtMs = askedAtMs;
    }
  }

  /** Takes time off that nobody counted. */
  reduce(lostMs: number): void {
    if (this.confirmedAtMs !== undefined) this.confirmedAtMs -= lostMs;
  }

  isValid(nowMs: MonotonicMs): boolean {
    return this.confirmedAtMs !== undefined && nowMs - this.confirmedAtMs < this.durationMs;
  }

  /** When the lease ends; undefined before it was first confirmed. */
  get endsAtMs(): MonotonicMs | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.confirmedAtMs + this.durationMs;
  }
}
