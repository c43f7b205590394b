import type { MonotonicMs } from '@savorywind/model';
import {
  FIRST_TRIAL_DELAY_MS,
  MAX_TRIAL_DELAY_MS,
  MIN_CRASHES,
  MIN_CRASH_SPACING_MS,
  TRIAL_DELAY_FACTOR,
} from './consts.js';
import type { BlockedSuspect, Suspect } from './types.js';

/** Counts the crashes that are far enough apart in time to be independent of each other. */
export const countIndependent = (crashesMs: readonly MonotonicMs[]): number => {
  let count = 0;
  let lastMs = Number.NEGATIVE_INFINITY;
  [...crashesMs]
    .sort((a, b) => a - b)
    .forEach((atMs) => {
      if (atMs - lastMs < MIN_CRASH_SPACING_MS) return;
      count += 1;
      lastMs = atMs;
    });
  return count;
};

const estimateTrialDelayMs = (crashes: number): number =>
  Math.min(
    MAX_TRIAL_DELAY_MS,
    FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** (crashes - MIN_CRASHES),
  );

const createBlocked = (suspect: Suspect, crashes: number): BlockedSuspect => {
  const lastMs = Math.max(suspect.triedAtMs, ...suspect.crashes.values());
  return { suspect, crashes, trialMs: lastMs + estimateTrialDelayMs(crashes) };
};

/**
 * Finds the suspects under which enough engines were lost. The requests of a crash have several parts in
 * common with it, of which one is the cause: the part with the fewest answers so far is the likeliest, then
 * the one that comes later in the prompt, as fewer requests share it, then the one with most crashes. The
 * crashes that a blocked suspect explains do not count against the others; if the real cause is an earlier
 * part, engines go on ending under others with it.
 *
 * @param countBegun returns how many answers with a suspect have begun lately
 * @returns the blocked suspects by key
 *
 * @example
 * findBlockedSuspects(suspects, (key) => history.count(key)).get('pool/llm/91bd3f06')?.trialMs;
 */
export const findBlockedSuspects = (
  suspects: readonly Suspect[],
  countBegun: (key: string) => number,
): ReadonlyMap<string, BlockedSuspect> => {
  const blocked = new Map<string, BlockedSuspect>();
  const explained = new Set<number>();
  suspects
    .filter(({ crashes }) => countIndependent([...crashes.values()]) >= MIN_CRASHES)
    .map((suspect) => ({ suspect, begun: countBegun(suspect.key) }))
    .sort(
      (a, b) =>
        a.begun - b.begun ||
        b.suspect.depth - a.suspect.depth ||
        b.suspect.crashes.size - a.suspect.crashes.size,
    )
    .forEach(({ suspect }) => {
      const unexplained = [...suspect.crashes].filter(([process]) => !explained.has(process));
      const crashes = countIndependent(unexplained.map(([, atMs]) => atMs));
      if (crashes < MIN_CRASHES) return;
      blocked.set(suspect.key, createBlocked(suspect, crashes));
      suspect.crashes.forEach((_atMs, process) => explained.add(process));
    });
  return blocked;
};
