import type { MonotonicMs } from '@savorywind/model';
import {
  ACQUITTAL_MEMORY_MS,
  BLOCK_MEMORY_MS,
  MAX_SUSPECTS,
  SUSPICION_MEMORY_MS,
} from './consts.js';
import type { CommonFeature, Suspect } from './types.js';

const findLastCrashMs = ({ crashes }: Suspect): MonotonicMs =>
  Math.max(Number.NEGATIVE_INFINITY, ...[...crashes.values()].map(({ atMs }) => atMs));

const estimateMemoryMs = ({ crashes }: Suspect, isBlocked: boolean): number => {
  if (isBlocked) return BLOCK_MEMORY_MS;
  return crashes.size === 0 ? ACQUITTAL_MEMORY_MS : SUSPICION_MEMORY_MS;
};

const isWeaker = (a: Suspect, b: Suspect): boolean =>
  a.crashes.size === b.crashes.size
    ? a.changedAtMs < b.changedAtMs
    : a.crashes.size < b.crashes.size;

/** The suspects of an entry VM, in a bounded number. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>();

  get size(): number {
    return this.suspects.size;
  }

  find(key: string): Suspect | undefined {
    return this.suspects.get(key);
  }

  list(): Suspect[] {
    return [...this.suspects.values()];
  }

  /** Finds a suspect, or adds it without any evidence. */
  open({ key, depth }: CommonFeature, nowMs: MonotonicMs): Suspect {
    const existing = this.suspects.get(key);
    if (existing !== undefined) return existing;
    const never = Number.NEGATIVE_INFINITY;
    const suspect: Suspect = {
      key,
      depth,
      crashes: new Map(),
      begunAtMs: never,
      ownBegunAtMs: never,
      triedAtMs: never,
      ownTriedAtMs: never,
      changedAtMs: nowMs,
    };
    if (this.suspects.size >= MAX_SUSPECTS) this.dropWeakest();
    this.suspects.set(key, suspect);
    return suspect;
  }

  /** Drops the suspects whose evidence is too old. Blocked ones are kept for longer. */
  dropOutdated(isBlocked: (key: string) => boolean, nowMs: MonotonicMs): void {
    this.suspects.forEach((suspect, key) => {
      const memoryMs = estimateMemoryMs(suspect, isBlocked(key));
      const lastMs = Math.max(findLastCrashMs(suspect), suspect.triedAtMs, suspect.changedAtMs);
      if (nowMs - lastMs > memoryMs) this.suspects.delete(key);
    });
  }

  /** A suspect under which engines go on ending has the newest crash, and so is not the weakest. */
  private dropWeakest(): void {
    let weakest: Suspect | undefined;
    this.suspects.forEach((suspect) => {
      if (weakest === undefined || isWeaker(suspect, weakest)) weakest = suspect;
    });
    if (weakest !== undefined) this.suspects.delete(weakest.key);
  }
}
