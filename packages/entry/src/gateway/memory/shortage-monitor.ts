import type { ShortageReason } from './types.js';

/** A shortage is over when nothing was refused for this time, in milliseconds. */
const QUIET_MS = 5_000;

const MS_PER_S = 1_000;

/** What was refused for want of room, by reason. */
export type Refusals = Readonly<Record<ShortageReason, number>>;

export interface ShortageMonitorOptions {
  /** Called with the reason of the first refusal after a time without any. */
  readonly onBegun: (reason: ShortageReason) => void;
  /** Called when nothing was refused for a while, with what was refused since the beginning. */
  readonly onEnded: (refused: Refusals, durationS: number) => void;
}

const createCounts = (): Record<ShortageReason, number> => ({
  requests: 0,
  bodies: 0,
  heads: 0,
  readers: 0,
  connections: 0,
  descriptors: 0,
});

/**
 * Counts what is refused for want of room, and reports the beginning and the end of a time in which this
 * happens.
 *
 * @example
 * const monitor = new ShortageMonitor({ onBegun, onEnded });
 * monitor.record('heads');
 */
export class ShortageMonitor {
  private readonly counts = createCounts();

  private countsBefore: Refusals = createCounts();

  private begunAtMs = 0;

  private lastAtMs = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ShortageMonitorOptions) {}

  /** Refusals since the start of the process. */
  get refusals(): Refusals {
    return this.counts;
  }

  /** Counts one refusal. */
  record(reason: ShortageReason): void {
    this.lastAtMs = performance.now();
    if (this.timer === undefined) this.begin(reason);
    this.counts[reason] += 1;
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private begin(reason: ShortageReason): void {
    this.begunAtMs = this.lastAtMs;
    this.countsBefore = { ...this.counts };
    this.arm(QUIET_MS);
    this.options.onBegun(reason);
  }

  private arm(delayMs: number): void {
    this.timer = setTimeout(() => this.check(), delayMs);
    this.timer.unref();
  }

  private check(): void {
    const quietMs = performance.now() - this.lastAtMs;
    if (quietMs < QUIET_MS) {
      this.arm(QUIET_MS - quietMs);
      return;
    }
    this.timer = undefined;
    const { counts, countsBefore: before } = this;
    const refused = {
      requests: counts.requests - before.requests,
      bodies: counts.bodies - before.bodies,
      heads: counts.heads - before.heads,
      readers: counts.readers - before.readers,
      connections: counts.connections - before.connections,
      descriptors: counts.descriptors - before.descriptors,
    };
    this.options.onEnded(refused, (this.lastAtMs - this.begunAtMs) / MS_PER_S);
  }
}
