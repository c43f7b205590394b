import type { RandomSource } from './random-source.js';

/** Network location of a process: its failure domain, or the location of the platform. */
export type NetworkLocation = string;

export const PLATFORM_LOCATION: NetworkLocation = 'platform';

export interface NetworkSettings {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Fractions of link messages that are lost, duplicated or delayed by an extra time. */
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly delayRate: number;
  /** Maximum extra delay of a message that is delayed by an extra time. */
  readonly maxExtraDelayMs: number;
}

/** Network without loss, duplicates or extra delays. */
export const RELIABLE_NETWORK: NetworkSettings = {
  minDelayMs: 0.2,
  maxDelayMs: 1,
  lossRate: 0,
  duplicateRate: 0,
  delayRate: 0,
  maxExtraDelayMs: 0,
};

const formatPair = (a: NetworkLocation, b: NetworkLocation): string =>
  a < b ? `${a}|${b}` : `${b}|${a}`;

/** Simulated network with delays, message loss and partitions between locations. */
export class FakeNetwork {
  private readonly partitions = new Set<string>();

  constructor(
    private readonly random: RandomSource,
    readonly settings: NetworkSettings,
  ) {}

  partition(a: NetworkLocation, b: NetworkLocation): void {
    this.partitions.add(formatPair(a, b));
  }

  reconnect(a: NetworkLocation, b: NetworkLocation): void {
    this.partitions.delete(formatPair(a, b));
  }

  reconnectAll(): void {
    this.partitions.clear();
  }

  isReachable(a: NetworkLocation, b: NetworkLocation): boolean {
    return !this.partitions.has(formatPair(a, b));
  }

  drawDelayMs(): number {
    return this.random.drawBetween(this.settings.minDelayMs, this.settings.maxDelayMs);
  }

  /** Sends a message that, like a datagram, may be lost, duplicated or reordered. */
  sendMessage(from: NetworkLocation, to: NetworkLocation, deliver: () => void): void {
    const { lossRate, duplicateRate, delayRate, maxExtraDelayMs } = this.settings;
    const scheduleDelivery = (): void => {
      const extraDelayMs =
        this.random.draw() < delayRate ? this.random.drawBetween(0, maxExtraDelayMs) : 0;
      setTimeout(() => {
        if (this.isReachable(from, to)) deliver();
      }, this.drawDelayMs() + extraDelayMs);
    };
    if (!this.isReachable(from, to) || this.random.draw() < lossRate) return;
    scheduleDelivery();
    if (this.random.draw() < duplicateRate) scheduleDelivery();
  }
}
