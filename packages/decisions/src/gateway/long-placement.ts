import type { EngineTraits } from '@savorywind/model';
import { MAX_HELPERS, MEMORY_HEADROOM } from './consts.js';
import { estimatePassMs } from './engine-costs.js';
import {
  buildPlacement,
  countFreeTokens,
  countRequests,
  estimateOn,
  hasRoom,
  hasSlot,
  PASSES_TO_FIRST_EVENT,
  type EngineCandidate,
  type Estimate,
  type HelperEstimate,
  type Placement,
  type PlacementAsk,
} from './placement-estimates.js';

/** Growth of the number of readers from one try to the next. */
const READERS_STEP = 0.35;

/** Reading that is queued on an engine that may take a long prompt: the rest of a pass or two. */
const CALM_READ_MS = 120;

/** A long prompt is being read until its first event is there, whatever the estimate says. */
const isCalm = ({ load }: EngineCandidate): boolean =>
  load.longReaders === 0 && load.readMs <= CALM_READ_MS;

const compareForLong = (a: Estimate, b: Estimate): number =>
  a.harmed - b.harmed ||
  a.load.readMs - b.load.readMs ||
  countRequests(a.load) - countRequests(b.load);

/**
 * Divides the memory of a prompt that no engine can hold alone: helpers with the most free memory
 * keep what does not fit at the first engine.
 *
 * @returns undefined where the memory of all of them is not enough
 */
const reserveParts = (
  helpers: readonly Estimate[],
  missingTokens: number,
  traits: EngineTraits,
): HelperEstimate[] | undefined => {
  let missing = missingTokens;
  const byMemory = [...helpers].sort(
    (a, b) => countFreeTokens(b, traits) - countFreeTokens(a, traits),
  );
  const reserved = byMemory.map((estimate) => {
    const reservedTokens = Math.min(missing, countFreeTokens(estimate, traits));
    missing -= reservedTokens;
    return { estimate, reservedTokens };
  });
  return missing > 0 ? undefined : reserved;
};

const placeInParts = (
  ask: PlacementAsk,
  estimates: readonly Estimate[],
  traits: EngineTraits,
  readers: number,
): Placement | undefined => {
  const first = estimates.find((estimate) => hasSlot(estimate, traits));
  if (first === undefined) return undefined;
  const others = estimates.filter((estimate) => estimate !== first).slice(0, readers - 1);
  const ownTokens = Math.min(ask.memoryTokens, countFreeTokens(first, traits));
  const helpers = reserveParts(others, ask.memoryTokens - ownTokens, traits);
  if (helpers === undefined) return undefined;
  return buildPlacement(first, helpers, ask.readMs / readers, ownTokens);
};

const placeWithReaders = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
  readers: number,
): Placement | undefined => {
  const partMs = ask.readMs / readers;
  const estimates = candidates
    .map((candidate) => estimateOn(candidate, partMs, ask, traits))
    .sort(compareForLong);
  if (ask.memoryTokens > MEMORY_HEADROOM * traits.memoryTokens) {
    return placeInParts(ask, estimates, traits, readers);
  }
  const first = estimates.find((estimate) => hasRoom(estimate, ask.memoryTokens, traits));
  if (first === undefined) return undefined;
  const helpers = estimates
    .filter((estimate) => estimate !== first)
    .slice(0, readers - 1)
    .map((estimate) => ({ estimate, reservedTokens: 0 }));
  return buildPlacement(first, helpers, partMs, ask.memoryTokens);
};

const isBetter = (a: Placement, b: Placement): boolean =>
  a.harmed < b.harmed || (a.harmed === b.harmed && a.firstEventMs < b.firstEventMs);

/** Numbers of readers to try: from the fewest that might do, in growing steps. */
const listReaderCounts = (ask: PlacementAsk, engines: number, traits: EngineTraits): number[] => {
  const most = Math.min(MAX_HELPERS + 1, engines);
  const idleMs = PASSES_TO_FIRST_EVENT * estimatePassMs(traits, 1, 0);
  const partMs = ask.spreadMs - idleMs;
  // One that is late may also be read more slowly, where more engines would disturb others.
  const mayBeSlow = partMs <= 0 || ask.aimLeftMs <= 0;
  const fewest = mayBeSlow ? 1 : Math.min(most, Math.ceil(ask.readMs / partMs));
  const counts: number[] = [];
  for (let count = fewest; count < most; count += Math.ceil(count * READERS_STEP)) {
    counts.push(count);
  }
  return most > 0 ? [...counts, most] : [];
};

/** Takes as few readers as bring the first event in time without spoiling other streams. */
export const placeLong = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const usable = ask.mayQueue ? candidates : candidates.filter(isCalm);
  let best: Placement | undefined;
  for (const readers of listReaderCounts(ask, usable.length, traits)) {
    const placement = placeWithReaders(ask, usable, traits, readers);
    if (placement !== undefined && (best === undefined || isBetter(placement, best))) {
      best = placement;
    }
    if (best?.harmed === 0 && best.firstEventMs <= ask.spreadMs) return best;
  }
  return best;
};
