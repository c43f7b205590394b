import {
  MIN_CRASHES,
  MIN_ENDS,
  MIN_ENDS_SHARE,
  MIN_REQUESTS_OF_PART,
  REQUEST_DEPTH,
  TIME_TOLERANCE_MS,
} from './consts.js';
import { decideByEnds, decideByMoments, type BlockDecision } from './decide-block.js';
import { listMoments } from './list-moments.js';
import type { LostProcesses } from './lost-processes.js';
import type { BlockedSuspect, Crash, Suspect } from './types.js';

/** What else is known, besides the suspects. */
export interface BlockEvidence {
  /** Returns how many answers have proved a part sound lately. */
  readonly countProofs: (key: string) => number;
  readonly lost: LostProcesses;
}

const createBlocked = (
  suspect: Suspect,
  { crashes, trialDelayMs }: BlockDecision,
): BlockedSuspect => {
  const crashesMs = [...suspect.crashes.values()].map(({ atMs }) => atMs);
  const lastMs = Math.max(suspect.triedAtMs, ...crashesMs);
  return { suspect, crashes, trialMs: lastMs + trialDelayMs };
};

/** Engine processes that were lost, by any of the suspects, with the time of the loss. */
const collectLosses = (suspects: readonly Suspect[]): ReadonlyMap<number, number> =>
  new Map(suspects.flatMap(({ crashes }) => [...crashes].map(([id, { atMs }]) => [id, atMs])));

/** What the suspects that are blocked so far explain. */
class Explanations {
  private readonly byPart = new Set<number>();

  /** Hash of the request by process. */
  private readonly byRequest = new Map<number, number>();

  /**
   * Whether a crash counts against another suspect. One that a request explains counts against the parts of
   * that request, as they may be the cause of both.
   */
  isOpen(process: number, { request }: Pick<Crash, 'request'>): boolean {
    const explaining = this.byRequest.get(process);
    return !this.byPart.has(process) && (explaining === undefined || explaining === request);
  }

  /** Whether a blocked suspect explains the end of a process. */
  explains(process: number): boolean {
    return this.byPart.has(process) || this.byRequest.has(process);
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
 * Whether most of the engine processes that were lost at the moments of a suspect were lost under it. Where a
 * failure domain ends or is cut off, others are lost at the same moment.
 */
const isSpecific = (
  { key, crashes }: Suspect,
  moments: readonly (readonly Crash[])[],
  losses: ReadonlyMap<number, number>,
  { lost }: BlockEvidence,
  explanations: Explanations,
): boolean => {
  const others = new Set<number>();
  moments.forEach((moment) => {
    const fromMs = moment[0]!.atMs - TIME_TOLERANCE_MS;
    const toMs = moment.at(-1)!.atMs + TIME_TOLERANCE_MS;
    losses.forEach((atMs, process) => {
      if (atMs >= fromMs && atMs <= toMs) others.add(process);
    });
    lost.listWithout(key, fromMs, toMs).forEach((process) => others.add(process));
  });
  const without = [...others].filter((id) => !crashes.has(id) && !explanations.explains(id)).length;
  return crashes.size >= MIN_ENDS_SHARE * (crashes.size + without);
};

/**
 * Finds the suspects under which enough endpoints were lost. The requests of a crash have several features,
 * of which one is the cause. A request that comes again is blamed first, and a part of prompts only if
 * different requests with it were lost. Of the parts, the one with the fewest answers so far is the likeliest,
 * then the one that comes later in the prompt, as fewer requests share it, then the one with most crashes. The
 * crashes that a blocked suspect explains do not count against the others; if the real cause is another one,
 * endpoints go on ending under other requests with it.
 *
 * Engines that end at the same moment count as one crash, as one event may have ended them all; unless nothing
 * has ever proved the suspect sound and most of the engines that ended then did so under it.
 *
 * @returns the blocked suspects by key
 *
 * @example
 * findBlockedSuspects(suspects, { countProofs, lost }).get('part/pool/llm/91bd3f06')?.trialMs;
 */
export const findBlockedSuspects = (
  suspects: readonly Suspect[],
  evidence: BlockEvidence,
): ReadonlyMap<string, BlockedSuspect> => {
  const blocked = new Map<string, BlockedSuspect>();
  const explanations = new Explanations();
  const losses = collectLosses(suspects);
  suspects
    .filter(({ crashes }) => crashes.size >= MIN_CRASHES)
    .map((suspect) => ({ suspect, proofs: evidence.countProofs(suspect.key) }))
    .sort(
      (a, b) =>
        Number(b.suspect.depth === REQUEST_DEPTH) - Number(a.suspect.depth === REQUEST_DEPTH) ||
        a.proofs - b.proofs ||
        b.suspect.depth - a.suspect.depth ||
        b.suspect.crashes.size - a.suspect.crashes.size,
    )
    .forEach(({ suspect, proofs }) => {
      const open = [...suspect.crashes].filter(([process, crash]) =>
        explanations.isOpen(process, crash),
      );
      const openCrashes = open.map(([, crash]) => crash);
      const isRequest = suspect.depth === REQUEST_DEPTH;
      if (countRequests(openCrashes) < (isRequest ? 1 : MIN_REQUESTS_OF_PART)) return;
      const moments = listMoments(openCrashes);
      const minEnds = isRequest ? MIN_ENDS.request : MIN_ENDS.part;
      const mayCountEnds =
        openCrashes.length >= minEnds &&
        proofs === 0 &&
        suspect.begunAtMs === Number.NEGATIVE_INFINITY &&
        isSpecific(suspect, moments, losses, evidence, explanations);
      const decision =
        (mayCountEnds ? decideByEnds(moments, minEnds) : undefined) ?? decideByMoments(moments);
      if (decision === undefined) return;
      blocked.set(suspect.key, createBlocked(suspect, decision));
      explanations.add(suspect);
    });
  return blocked;
};
