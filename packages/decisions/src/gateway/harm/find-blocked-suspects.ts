import {
  FIRST_TRIAL_DELAY_MS,
  MAX_TRIAL_DELAY_MS,
  MIN_CRASHES,
  MIN_REQUESTS_OF_PART,
  REQUEST_DEPTH,
  TRIAL_DELAY_FACTOR,
} from './consts.js';
import { listIndependent } from './list-independent.js';
import type { BlockedSuspect, Crash, Suspect } from './types.js';

const estimateTrialDelayMs = (crashes: number): number =>
  Math.min(
    MAX_TRIAL_DELAY_MS,
    FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** (crashes - MIN_CRASHES),
  );

const createBlocked = (suspect: Suspect, crashes: number): BlockedSuspect => {
  const crashesMs = [...suspect.crashes.values()].map(({ atMs }) => atMs);
  const lastMs = Math.max(suspect.triedAtMs, ...crashesMs);
  return { suspect, crashes, trialMs: lastMs + estimateTrialDelayMs(crashes) };
};

/** What the suspects that are blocked so far explain. */
class Explanations {
  private readonly byPart = new Set<number>();

  /** Hash of the request by process. */
  private readonly byRequest = new Map<number, number>();

  /**
   * Whether a crash counts against another suspect. One that a request explains counts against the parts of
   * that request, as they may be the cause of both.
   */
  isOpen(process: number, { request }: Crash): boolean {
    const explaining = this.byRequest.get(process);
    return !this.byPart.has(process) && (explaining === undefined || explaining === request);
  }

  add({ crashes, depth }: Suspect): void {
    crashes.forEach(({ request }, process) => {
      if (depth === REQUEST_DEPTH) this.byRequest.set(process, request);
      else this.byPart.add(process);
    });
  }
}

const countRequests = (crashes: readonly Crash[]): number =>
  new Set(crashes.map(({ request }) => request)).size;

/**
 * Finds the suspects under which enough endpoints were lost. The requests of a crash have several features,
 * of which one is the cause. A request that comes again is blamed first, and a part of prompts only if
 * different requests with it were lost. Of the parts, the one with the fewest answers so far is the likeliest,
 * then the one that comes later in the prompt, as fewer requests share it, then the one with most crashes. The
 * crashes that a blocked suspect explains do not count against the others; if the real cause is another one,
 * endpoints go on ending under other requests with it.
 *
 * @param countBegun returns how many answers have proved a part sound lately
 * @returns the blocked suspects by key
 *
 * @example
 * findBlockedSuspects(suspects, (key) => history.count(key)).get('part/pool/llm/91bd3f06')?.trialMs;
 */
export const findBlockedSuspects = (
  suspects: readonly Suspect[],
  countBegun: (key: string) => number,
): ReadonlyMap<string, BlockedSuspect> => {
  const blocked = new Map<string, BlockedSuspect>();
  const explanations = new Explanations();
  suspects
    .filter(({ crashes }) => crashes.size >= MIN_CRASHES)
    .map((suspect) => ({ suspect, begun: countBegun(suspect.key) }))
    .sort(
      (a, b) =>
        Number(b.suspect.depth === REQUEST_DEPTH) - Number(a.suspect.depth === REQUEST_DEPTH) ||
        a.begun - b.begun ||
        b.suspect.depth - a.suspect.depth ||
        b.suspect.crashes.size - a.suspect.crashes.size,
    )
    .forEach(({ suspect }) => {
      const open = [...suspect.crashes].filter(([process, crash]) =>
        explanations.isOpen(process, crash),
      );
      const openCrashes = open.map(([, crash]) => crash);
      const crashes = listIndependent(openCrashes).length;
      const minRequests = suspect.depth === REQUEST_DEPTH ? 1 : MIN_REQUESTS_OF_PART;
      if (crashes < MIN_CRASHES || countRequests(openCrashes) < minRequests) return;
      blocked.set(suspect.key, createBlocked(suspect, crashes));
      explanations.add(suspect);
    });
  return blocked;
};
