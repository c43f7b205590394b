import type { MonotonicMs } from '@savorywind/model';
import { MAX_LOST_PROCESSES } from './consts.js';

interface LostProcess {
  readonly atMs: MonotonicMs;
  /** The suspects that the loss counts against. */
  readonly keys: Set<string>;
}

/**
 * The engine processes that this entry VM has lost lately, under whatever requests. Those that ended at the
 * same moment without a suspect speak against it.
 */
export class LostProcesses {
  /** In the order of the losses. */
  private readonly losses = new Map<number, LostProcess>();

  /** @param keys the suspects that the loss counts against; none if it is no evidence */
  record(process: number, atMs: MonotonicMs, keys: readonly string[]): void {
    const known = this.losses.get(process);
    if (known !== undefined) {
      keys.forEach((key) => known.keys.add(key));
      return;
    }
    this.losses.set(process, { atMs, keys: new Set(keys) });
    if (this.losses.size <= MAX_LOST_PROCESSES) return;
    const [oldest] = this.losses.keys();
    if (oldest !== undefined) this.losses.delete(oldest);
  }

  /** Lists the processes that were lost within a time, and not under a suspect. */
  listWithout(key: string, fromMs: MonotonicMs, toMs: MonotonicMs): number[] {
    return [...this.losses]
      .filter(([, { atMs, keys }]) => atMs >= fromMs && atMs <= toMs && !keys.has(key))
      .map(([process]) => process);
  }
}
