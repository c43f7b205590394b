import type { EngineTraits } from '@savorywind/model';
import {
  buildPlacement,
  countRequests,
  estimateOn,
  hasRoom,
  isIdle,
  isPacked,
  type EngineCandidate,
  type Estimate,
  type Placement,
  type PlacementAsk,
} from './placement-estimates.js';

/** Engines among which a short prompt's is drawn: as good as one, and half as many collisions. */
const MAX_ALIKE = 2;

/** Difference in requests up to which two engines are filled alike. */
const ALIKE_REQUESTS = 3;

/** Packs up to a share of the slots: engines that stay empty can take long prompts. */
const compareForShort = (a: Estimate, b: Estimate): number =>
  a.harmed - b.harmed ||
  Number(a.isLate) - Number(b.isLate) ||
  Number(isPacked(a)) - Number(isPacked(b)) ||
  countRequests(b.load) - countRequests(a.load) ||
  a.firstEventMs - b.firstEventMs;

/** How many of the first engines are about as good as the best one. */
const countAlike = (estimates: readonly Estimate[]): number => {
  const [best] = estimates;
  if (best === undefined || best.isLate || best.harmed > 0 || isPacked(best)) return 1;
  const end = estimates.findIndex(
    (other) =>
      other.isLate ||
      other.harmed > 0 ||
      isPacked(other) ||
      (isIdle(other) && !isIdle(best)) ||
      countRequests(best.load) - countRequests(other.load) > ALIKE_REQUESTS,
  );
  return Math.min(MAX_ALIKE, end < 0 ? estimates.length : end);
};

/**
 * Places a prompt that is read within one pass: beside other short ones, where no stream is disturbed.
 *
 * @returns undefined where no engine has room
 */
export const placeShort = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const estimates = candidates
    .filter((candidate) => hasRoom(candidate, ask.memoryTokens, traits))
    .map((candidate) => estimateOn(candidate, ask.readMs, ask, traits));
  estimates.sort(compareForShort);
  const alike = countAlike(estimates);
  const best = estimates[Math.floor(ask.lot * alike)];
  return best === undefined ? undefined : buildPlacement(best, [], ask.readMs, ask.memoryTokens);
};
