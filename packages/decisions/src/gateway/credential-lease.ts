import type { MonotonicMs } from '@savorywind/model';

/**
 * For how long credentials may be trusted without asking the store again. A credential counts only
 * while an answer whose question left less than the freshness ago has confirmed the configuration.
 * Times are those of a clock that also counts while the process is frozen.
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

  isValid(nowMs: MonotonicMs): boolean {
    return this.confirmedAtMs !== undefined && nowMs - this.confirmedAtMs < this.durationMs;
  }

  /** When the lease ends; undefined before it was first confirmed. */
  get endsAtMs(): MonotonicMs | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.confirmedAtMs + this.durationMs;
  }
}
