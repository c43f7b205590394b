import type { MonotonicMs, TeamId } from '@savorywind/model';

/** Time in which what a team used counts half, in milliseconds. */
const HALF_LIFE_MS = 10_000;

/** A team is over its share from this multiple of it on. */
const TOLERANCE = 1.3;

/** Use below which a team is forgotten, in milliseconds of work. */
const FORGOTTEN_MS = 1;

/** Work that teams have used lately, against the shares that their weights give them. */
export class TeamShares {
  private readonly usedMs = new Map<TeamId, number>();

  private sumUsedMs = 0;

  private sumWeights = 0;

  private decayedAtMs: MonotonicMs = 0;

  constructor(private readonly findWeight: (team: TeamId) => number) {}

  record(team: TeamId, workMs: number, nowMs: MonotonicMs): void {
    this.decay(nowMs);
    if (!this.usedMs.has(team)) this.sumWeights += this.findWeight(team);
    this.usedMs.set(team, (this.usedMs.get(team) ?? 0) + workMs);
    this.sumUsedMs += workMs;
  }

  /** Whether a team uses more than its weight gives it among the teams that are active. */
  isOver(team: TeamId, nowMs: MonotonicMs): boolean {
    this.decay(nowMs);
    const usedMs = this.usedMs.get(team);
    if (usedMs === undefined || this.usedMs.size < 2) return false;
    const share = this.findWeight(team) / this.sumWeights;
    return usedMs > TOLERANCE * share * this.sumUsedMs;
  }

  /** Halves all uses each half-life, so that the cost is spread over many requests. */
  private decay(nowMs: MonotonicMs): void {
    while (nowMs - this.decayedAtMs >= HALF_LIFE_MS) {
      if (this.usedMs.size === 0) {
        this.decayedAtMs = nowMs;
        return;
      }
      this.decayedAtMs += HALF_LIFE_MS;
      this.halve();
    }
  }

  private halve(): void {
    this.sumUsedMs = 0;
    this.sumWeights = 0;
    this.usedMs.forEach((usedMs, team) => {
      const left = usedMs / 2;
      if (left < FORGOTTEN_MS) {
        this.usedMs.delete(team);
        return;
      }
      this.usedMs.set(team, left);
      this.sumUsedMs += left;
      this.sumWeights += this.findWeight(team);
    });
  }
}
