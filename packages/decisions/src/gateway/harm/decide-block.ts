import type { MonotonicMs } from '@savorywind/model';
import {
  BLOCK_KNOWN_MS,
  FIRST_TRIAL_DELAY_MS,
  MAX_TRIAL_DELAY_MS,
  MIN_CRASHES,
  TRIAL_DELAY_FACTOR,
} from './consts.js';
import type { Crash } from './types.js';

/** How long a blocked suspect waits for its next trial, and what blocks it. */
export interface BlockDecision {
  /** Crashes that count. */
  readonly crashes: number;
  readonly trialDelayMs: number;
}

const estimateTrialDelayMs = (failedTrials: number): number =>
  Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** failedTrials);

/** Finds the moment of the crash from which there are enough of them, and its place among the moments. */
const findDecisive = (
  moments: readonly (readonly Crash[])[],
  minEnds: number,
): { readonly moment: number; readonly atMs: MonotonicMs } | undefined => {
  let ends = 0;
  for (let moment = 0; moment < moments.length; moment += 1) {
    const crashes = moments[moment]!;
    const crash = crashes[minEnds - ends - 1];
    if (crash !== undefined) return { moment, atMs: crash.atMs };
    ends += crashes.length;
  }
  return undefined;
};

/**
 * Decides by the ends of engines whether a suspect is blocked, where there were enough of them before there were
 * enough moments.
 *
 * @param minEnds engines that have to end
 */
export const decideByEnds = (
  moments: readonly (readonly Crash[])[],
  minEnds: number,
): BlockDecision | undefined => {
  const decisive = findDecisive(moments, minEnds);
  if (decisive === undefined || decisive.moment >= MIN_CRASHES - 1) return undefined;
  const knownAtMs = decisive.atMs + BLOCK_KNOWN_MS;
  // Attempts that were on the way when the suspect was blocked are no trials.
  const failedTrials = moments.filter(([crash]) => crash!.atMs - crash!.tookMs >= knownAtMs).length;
  const crashes = moments.flat().length;
  return { crashes, trialDelayMs: estimateTrialDelayMs(failedTrials) };
};

/** Decides by independent moments at which engines ended whether a suspect is blocked. */
export const decideByMoments = ({ length }: readonly unknown[]): BlockDecision | undefined =>
  length < MIN_CRASHES
    ? undefined
    : { crashes: length, trialDelayMs: estimateTrialDelayMs(length - MIN_CRASHES) };
