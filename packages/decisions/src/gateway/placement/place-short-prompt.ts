import type { EngineTraits } from '@savorywind/model';
import { drawEngine } from './draw-engine.js';
import {
  buildPlacement,
  countRequests,
  estimatePlacement,
  hasCapacity,
  isIdle,
  isAtFillLimit,
  type EngineCandidate,
  type EngineEstimate,
  type Placement,
  type PlacementInput,
} from './placement-estimates.js';

/**
 * Equivalent engines among which one is chosen at random. Two give as good a placement as one, and
 * halve the collisions between entry VMs.
 */
const MAX_EQUIVALENT_ENGINES = 2;

/** Most requests by which the loads of two equivalent engines differ. */
const EQUIVALENT_REQUEST_DIFFERENCE = 3;

/**
 * Prefers the fuller engine up to the fill limit, so that other engines stay idle for long prompts.
 */
const compareForShortPrompt = (a: EngineEstimate, b: EngineEstimate): number =>
  a.disruption - b.disruption ||
  Number(a.isLate) - Number(b.isLate) ||
  Number(isAtFillLimit(a)) - Number(isAtFillLimit(b)) ||
  countRequests(b.load) - countRequests(a.load) ||
  a.firstEventMs - b.firstEventMs;

/**
 * The same where the loads are known late. Of engines at the fill limit the emptier one is better, as
 * unseen requests would find no slot at the fuller one.
 */
const compareWithUnseen = (a: EngineEstimate, b: EngineEstimate): number => {
  const areFull = isAtFillLimit(a) && isAtFillLimit(b) && a.isLate === b.isLate;
  return areFull && a.disruption === b.disruption
    ? countRequests(a.load) - countRequests(b.load) || a.firstEventMs - b.firstEventMs
    : compareForShortPrompt(a, b);
};

/** Counts the leading engines of the ranking that are equivalent to the best one. */
const countEquivalent = (estimates: readonly EngineEstimate[]): number => {
  const [best] = estimates;
  if (best === undefined || best.isLate || best.disruption > 0 || isAtFillLimit(best)) return 1;
  const end = estimates.findIndex(
    (other) =>
      other.isLate ||
      other.disruption > 0 ||
      isAtFillLimit(other) ||
      (isIdle(other) && !isIdle(best)) ||
      countRequests(best.load) - countRequests(other.load) > EQUIVALENT_REQUEST_DIFFERENCE,
  );
  return Math.min(MAX_EQUIVALENT_ENGINES, end < 0 ? estimates.length : end);
};

const pickEngine = (
  estimates: EngineEstimate[],
  { random, unseenRequests }: PlacementInput,
): EngineEstimate | undefined => {
  if (unseenRequests > 0)
    return drawEngine(estimates.sort(compareWithUnseen), unseenRequests, random);
  estimates.sort(compareForShortPrompt);
  return estimates[Math.floor(random * countEquivalent(estimates))];
};

/**
 * Places a prompt whose prefill fits in one pass, preferably beside other short prompts and where
 * it disrupts no stream.
 *
 * @returns undefined if no engine has capacity
 */
export const placeShortPrompt = (
  input: PlacementInput,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const estimates = candidates
    .filter((candidate) => hasCapacity(candidate, input.memoryTokens, traits))
    .map((candidate) => estimatePlacement(candidate, input.prefillMs, input, traits));
  const best = pickEngine(estimates, input);
  return best === undefined
    ? undefined
    : buildPlacement(best, [], input.prefillMs, input.memoryTokens);
};
