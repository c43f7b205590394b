import type { RandomSource } from './random.js';

/** Where a machine stands: a failure domain, or the platform's own place. */
export type Place = string;

export const PLATFORM_PLACE: Place = 'platform';

export interface NetworkSettings {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Share of link messages that are lost, doubled or delayed far beyond the others. */
  readonly lossRate: number;
  readonly doubleRate: number;
  readonly lateRate: number;
  readonly lateMs: number;
}

export const CALM_NETWORK: NetworkSettings = {
  minDelayMs: 0.2,
  maxDelayMs: 1,
  lossRate: 0,
  doubleRate: 0,
  lateRate: 0,
  lateMs: 0,
};

const formatPair = (a: Place, b: Place): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

/** Delay, loss and cuts between places. */
export class FakeNetwork {
  private readonly cuts = new Set<string>();

  constructor(
    private readonly random: RandomSource,
    readonly settings: NetworkSettings,
  ) {}

  cut(a: Place, b: Place): void {
    this.cuts.add(formatPair(a, b));
  }

  heal(a: Place, b: Place): void {
    this.cuts.delete(formatPair(a, b));
  }

  healAll(): void {
    this.cuts.clear();
  }

  isReachable(a: Place, b: Place): boolean {
    return !this.cuts.has(formatPair(a, b));
  }

  drawDelayMs(): number {
    return this.random.drawBetween(this.settings.minDelayMs, this.settings.maxDelayMs);
  }

  /** Sends a datagram-like message: it may be lost, doubled, or overtaken by later ones. */
  sendMessage(from: Place, to: Place, deliver: () => void): void {
    const { lossRate, doubleRate, lateRate, lateMs } = this.settings;
    const deliverLater = (): void => {
      const late = this.random.draw() < lateRate ? this.random.drawBetween(0, lateMs) : 0;
      setTimeout(() => {
        if (this.isReachable(from, to)) deliver();
      }, this.drawDelayMs() + late);
    };
    if (!this.isReachable(from, to) || this.random.draw() < lossRate) return;
    deliverLater();
    if (this.random.draw() < doubleRate) deliverLater();
  }
}
