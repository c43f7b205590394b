import type { HarmObservation, MonotonicMs } from '@savorywind/model';
import type { SnapshotFrequency } from '../peer-table.js';
import { BLOCK_REPORT_INTERVAL_MS, CHANGE_REPORT_MS, MAX_TOLD_SUSPECTS } from './consts.js';
import type { BlockedSuspect, Suspect } from './types.js';

/** Converts a time to its age for a message; undefined if there is none. */
const describeAge = (atMs: MonotonicMs, nowMs: MonotonicMs): number | undefined =>
  atMs === Number.NEGATIVE_INFINITY ? undefined : Math.round(nowMs - atMs);

const describeSuspect = (suspect: Suspect, nowMs: MonotonicMs): HarmObservation => ({
  suspect: suspect.key,
  depth: suspect.depth,
  crashes: [...suspect.crashes].map(([process, { atMs, tookMs, request }]) => ({
    process,
    request,
    tookMs,
    ageMs: Math.round(nowMs - atMs),
  })),
  begunAgeMs: describeAge(suspect.ownBegunAtMs, nowMs),
  triedAgeMs: describeAge(suspect.ownTriedAtMs, nowMs),
});

const NEVER = Number.NEGATIVE_INFINITY;

/**
 * Decides which suspects a snapshot tells of: those whose evidence has changed not long ago or was not told
 * yet, and the blocked ones. Peers that get each change are told of the blocked ones at intervals; the others
 * get a snapshot only now and then, and each of them tells all. What does not fit into a snapshot, as after the
 * loss of a prompt with many parts, comes first in the next one.
 */
export class HarmReport {
  private blocksToldAtMs = NEVER;

  private readonly toldAtMs: Readonly<Record<SnapshotFrequency, WeakMap<Suspect, MonotonicMs>>> = {
    frequent: new WeakMap(),
    periodic: new WeakMap(),
  };

  /** Whether the last snapshot to the peers that get each change left out some that they don't know yet. */
  hasUntold = false;

  /** Has the next snapshot tell of all blocked suspects. */
  tellBlocks(): void {
    this.blocksToldAtMs = NEVER;
  }

  /** @returns undefined if there is nothing to tell */
  list(
    suspects: readonly Suspect[],
    blocked: ReadonlyMap<string, BlockedSuspect>,
    frequency: SnapshotFrequency,
    nowMs: MonotonicMs,
  ): HarmObservation[] | undefined {
    const tellsBlocks = this.takeBlocksTurn(frequency, nowMs);
    const toldAtMs = this.toldAtMs[frequency];
    const findToldMs = (suspect: Suspect): MonotonicMs => toldAtMs.get(suspect) ?? NEVER;
    const isUntold = (suspect: Suspect): boolean => findToldMs(suspect) < suspect.changedAtMs;
    const isBlocked = ({ key }: Suspect): boolean => blocked.has(key);
    const wanted = suspects
      .filter((suspect) => {
        const isRecent = nowMs - suspect.changedAtMs < CHANGE_REPORT_MS[frequency];
        return isRecent || isUntold(suspect) || (tellsBlocks && isBlocked(suspect));
      })
      .sort(
        (a, b) =>
          Number(isBlocked(b)) - Number(isBlocked(a)) ||
          Number(isUntold(b)) - Number(isUntold(a)) ||
          b.crashes.size - a.crashes.size ||
          findToldMs(a) - findToldMs(b) ||
          b.depth - a.depth,
      );
    const told = wanted.slice(0, MAX_TOLD_SUSPECTS);
    told.forEach((suspect) => toldAtMs.set(suspect, nowMs));
    if (frequency === 'frequent') this.hasUntold = wanted.some(isUntold);
    return told.length === 0 ? undefined : told.map((suspect) => describeSuspect(suspect, nowMs));
  }

  private takeBlocksTurn(frequency: SnapshotFrequency, nowMs: MonotonicMs): boolean {
    if (frequency === 'periodic') return true;
    if (nowMs - this.blocksToldAtMs < BLOCK_REPORT_INTERVAL_MS) return false;
    this.blocksToldAtMs = nowMs;
    return true;
  }
}
