import { MAX_REMEMBERED_PARTS } from './consts.js';

/**
 * How many answers have proved each part sound that was in use lately. A part with many of them is an unlikely
 * cause of a crash.
 */
export class BegunHistory {
  /** In order of use, the least recent first. */
  private readonly counts = new Map<string, number>();

  get size(): number {
    return this.counts.size;
  }

  record(key: string): void {
    const count = this.count(key) + 1;
    this.counts.delete(key);
    this.counts.set(key, count);
    if (this.counts.size <= MAX_REMEMBERED_PARTS) return;
    const [oldest] = this.counts.keys();
    if (oldest !== undefined) this.counts.delete(oldest);
  }

  count(key: string): number {
    return this.counts.get(key) ?? 0;
  }
}
