/** Time over which processor time is summed, in milliseconds. */
const WINDOW_MS = 1_000;

/** Processor time for the datagrams of one sender in a window, in milliseconds. Peers need less than one. */
const SENDER_MS = 50;

/** Processor time for all datagrams in a window, in milliseconds. */
const TOTAL_MS = 250;

/** Senders that are told apart in a window; anybody can name any address. */
const MAX_SENDERS = 4_096;

/**
 * Bounds the processor time that datagrams take: one of 64 kB may take 30 ms, and they arrive without being asked
 * for. What exceeds it is not read, first of the sender that takes most.
 *
 * @example
 * const time = new DatagramTime();
 * if (time.hasLeft(sender)) time.measure(sender, () => read(bytes));
 */
export class DatagramTime {
  private startedAtMs = -Infinity;

  private totalMs = 0;

  private readonly senders = new Map<string, number>();

  /** Whether a datagram of the sender may be read. */
  hasLeft(sender: string): boolean {
    if (performance.now() - this.startedAtMs >= WINDOW_MS) this.beginWindow();
    if (this.totalMs >= TOTAL_MS) return false;
    const usedMs = this.senders.get(sender);
    return usedMs === undefined ? this.senders.size < MAX_SENDERS : usedMs < SENDER_MS;
  }

  /** Runs the work on a datagram and counts the time that it takes. */
  measure(sender: string, work: () => void): void {
    const startedAtMs = performance.now();
    try {
      work();
    } finally {
      const tookMs = performance.now() - startedAtMs;
      this.totalMs += tookMs;
      this.senders.set(sender, (this.senders.get(sender) ?? 0) + tookMs);
    }
  }

  private beginWindow(): void {
    this.startedAtMs = performance.now();
    this.totalMs = 0;
    this.senders.clear();
  }
}
