import type { MonotonicMs, TeamId } from '@savorywind/model';

/** Half-life of recorded usage, in milliseconds. */
const HALF_LIFE_MS = 10_000;

/** A team is over its fair share if it uses more than this multiple of it. */
const SHARE_TOLERANCE_FACTOR = 1.3;

/** Usage below which a team is no longer tracked, in milliseconds of work. */
const MIN_TRACKED_MS = 1;

/**
 * Tracks the recent usage of each team and compares it with the fair share that its weight gives.
 */
export class FairShareTracker {
  private readonly usedMs = new Map<TeamId, number>();

  private sumUsedMs = 0;

  private sumWeights = 0;

  private decayedAtMs: MonotonicMs = 0;

  constructor(private readonly findWeight: (team: TeamId) => number) {}

  /** Records prefill work, in milliseconds, that a team has been granted. */
  record(team: TeamId, workMs: number, nowMs: MonotonicMs): void {
    this.applyDecay(nowMs);
    if (!this.usedMs.has(team)) this.sumWeights += this.findWeight(team);
    this.usedMs.set(team, (this.usedMs.get(team) ?? 0) + workMs);
    this.sumUsedMs += workMs;
  }

  /** Whether a team uses more than its fair share among the active teams. */
  isOverShare(team: TeamId, nowMs: MonotonicMs): boolean {
    this.applyDecay(nowMs);
    const usedMs = this.usedMs.get(team);
    if (usedMs === undefined || this.usedMs.size < 2) return false;
    const share = this.findWeight(team) / this.sumWeights;
    return usedMs > SHARE_TOLERANCE_FACTOR * share * this.sumUsedMs;
  }

  /**
   * Halves the usage of all teams once per elapsed half-life, rather than decaying it on each call,
   * so that the cost is spread over many requests.
   */
  private applyDecay(nowMs: MonotonicMs): void {
    while (nowMs - this.decayedAtMs >= HALF_LIFE_MS) {
      if (this.usedMs.size === 0) {
        this.decayedAtMs = nowMs;
        return;
      }
      this.decayedAtMs += HALF_LIFE_MS;
      this.applyHalfLife();
    }
  }

  private applyHalfLife(): void {
    this.sumUsedMs = 0;
    this.sumWeights = 0;
    this.usedMs.forEach((usedMs, team) => {
      const remainingMs = usedMs / 2;
      if (remainingMs < MIN_TRACKED_MS) {
        this.usedMs.delete(team);
        return;
      }
      this.usedMs.set(team, remainingMs);
      this.sumUsedMs += remainingMs;
      this.sumWeights += this.findWeight(team);
    });
  }
}
