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

/**
 * Decides which suspects a snapshot tells of: those whose evidence has changed not long ago, and the blocked
 * ones. Peers that get each change are told of the blocked ones at intervals; the others get a snapshot only
 * now and then, and each of them tells all.
 */
export class HarmReport {
  private blocksToldAtMs = Number.NEGATIVE_INFINITY;

  /** Has the next snapshot tell of all blocked suspects. */
  tellBlocks(): void {
    this.blocksToldAtMs = Number.NEGATIVE_INFINITY;
  }

  /** @returns undefined if there is nothing to tell */
  list(
    suspects: readonly Suspect[],
    blocked: ReadonlyMap<string, BlockedSuspect>,
    frequency: SnapshotFrequency,
    nowMs: MonotonicMs,
  ): HarmObservation[] | undefined {
    const tellsBlocks = this.takeBlocksTurn(frequency, nowMs);
    const told = suspects
      .filter(({ key, changedAtMs }) => {
        const isRecent = nowMs - changedAtMs < CHANGE_REPORT_MS[frequency];
        return isRecent || (tellsBlocks && blocked.has(key));
      })
      .sort(
        (a, b) =>
          Number(blocked.has(b.key)) - Number(blocked.has(a.key)) ||
          b.crashes.size - a.crashes.size ||
          b.changedAtMs - a.changedAtMs,
      )
      .slice(0, MAX_TOLD_SUSPECTS);
    return told.length === 0 ? undefined : told.map((suspect) => describeSuspect(suspect, nowMs));
  }

  private takeBlocksTurn(frequency: SnapshotFrequency, nowMs: MonotonicMs): boolean {
    if (frequency === 'periodic') return true;
    if (nowMs - this.blocksToldAtMs < BLOCK_REPORT_INTERVAL_MS) return false;
    this.blocksToldAtMs = nowMs;
    return true;
  }
}
