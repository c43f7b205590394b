import type { EngineTraits } from '@savorywind/model';
import { MAX_HELPERS, MEMORY_BUDGET_FRACTION } from '../consts.js';
import { estimatePassMs } from './engine-costs.js';
import {
  buildPlacement,
  countFreeTokens,
  countRequests,
  estimatePlacement,
  hasCapacity,
  hasSlot,
  PASSES_TO_FIRST_EVENT,
  type EngineCandidate,
  type EngineEstimate,
  type HelperEstimate,
  type Placement,
  type PlacementInput,
} from './placement-estimates.js';

/** Relative growth of the number of prefill engines from one try to the next. */
const ENGINE_COUNT_GROWTH = 0.35;

/**
 * Most prefill time queued on an engine that may take a long prompt: the rest of one or two passes.
 */
const MAX_QUEUED_PREFILL_MS = 120;

/**
 * Whether an engine may prefill a long prompt. An engine that already prefills a long prompt may
 * not take another one before the first event of that prompt, even if the estimated time has
 * passed.
 */
const mayPrefillLongPrompt = ({ load }: EngineCandidate): boolean =>
  load.longReaders === 0 && load.readMs <= MAX_QUEUED_PREFILL_MS;

const compareForLongPrompt = (a: EngineEstimate, b: EngineEstimate): number =>
  a.disruption - b.disruption ||
  a.load.readMs - b.load.readMs ||
  countRequests(a.load) - countRequests(b.load);

/**
 * Splits the KV cache of a prompt that exceeds one engine's memory: the helpers with the most free
 * memory hold what does not fit on the primary engine.
 *
 * @returns undefined if the free memory of all helpers is not enough
 */
const splitMemory = (
  helpers: readonly EngineEstimate[],
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

/** Lists the best engines that may help a primary one, one less than all that take part. */
const listHelpers = (
  estimates: readonly EngineEstimate[],
  primary: EngineEstimate,
  engineCount: number,
): EngineEstimate[] =>
  estimates
    .filter((estimate) => estimate !== primary && !estimate.isCold)
    .slice(0, engineCount - 1);

const placeWithSplitMemory = (
  input: PlacementInput,
  estimates: readonly EngineEstimate[],
  traits: EngineTraits,
  engineCount: number,
): Placement | undefined => {
  const primary = estimates.find((estimate) => hasSlot(estimate, traits));
  if (primary === undefined) return undefined;
  const others = listHelpers(estimates, primary, engineCount);
  const primaryTokens = Math.min(input.memoryTokens, countFreeTokens(primary, traits));
  const helpers = splitMemory(others, input.memoryTokens - primaryTokens, traits);
  if (helpers === undefined) return undefined;
  return buildPlacement(primary, helpers, input.prefillMs / engineCount, primaryTokens);
};

const placeOnEngines = (
  input: PlacementInput,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
  engineCount: number,
): Placement | undefined => {
  const partMs = input.prefillMs / engineCount;
  const estimates = candidates
    .map((candidate) => estimatePlacement(candidate, partMs, input, traits))
    .sort(compareForLongPrompt);
  if (input.memoryTokens > MEMORY_BUDGET_FRACTION * traits.memoryTokens) {
    return placeWithSplitMemory(input, estimates, traits, engineCount);
  }
  const primary = estimates.find((estimate) => hasCapacity(estimate, input.memoryTokens, traits));
  if (primary === undefined) return undefined;
  const helpers = listHelpers(estimates, primary, engineCount).map((estimate) => ({
    estimate,
    reservedTokens: 0,
  }));
  return buildPlacement(primary, helpers, partMs, input.memoryTokens);
};

const isBetter = (a: Placement, b: Placement): boolean =>
  a.disruption < b.disruption || (a.disruption === b.disruption && a.firstEventMs < b.firstEventMs);

/**
 * Lists the numbers of prefill engines to try, from the least that may suffice, in growing steps.
 */
const listEngineCounts = (
  input: PlacementInput,
  engines: number,
  traits: EngineTraits,
): number[] => {
  const maxCount = Math.min(MAX_HELPERS + 1, engines);
  const passesMs = PASSES_TO_FIRST_EVENT * estimatePassMs(traits, 1, 0);
  const maxPartMs = input.splitTargetMs - passesMs;
  // A prompt that can't meet its target also tries fewer engines, because more of them could
  // disrupt other streams.
  const mayBeSlow = maxPartMs <= 0 || input.targetLeftMs <= 0;
  const minCount = mayBeSlow ? 1 : Math.min(maxCount, Math.ceil(input.prefillMs / maxPartMs));
  const counts: number[] = [];
  for (let count = minCount; count < maxCount; count += Math.ceil(count * ENGINE_COUNT_GROWTH)) {
    counts.push(count);
  }
  return maxCount > 0 ? [...counts, maxCount] : [];
};

/**
 * Lists engines from a random one on, where the loads are known late. Engines without work are all
 * equally good, and entry VMs that place at the same time would all begin with the same ones.
 */
const listFromRandom = (
  candidates: readonly EngineCandidate[],
  { random, unseenRequests }: PlacementInput,
): readonly EngineCandidate[] => {
  if (unseenRequests === 0) return candidates;
  const start = Math.floor(random * candidates.length);
  return [...candidates.slice(start), ...candidates.slice(0, start)];
};

/**
 * Places a long prompt on as few engines as deliver the first event in time without disrupting
 * other streams. If no number of engines does, the placement with the least disruption is taken,
 * and among equals the fastest one.
 *
 * @returns undefined if no set of engines has capacity
 */
export const placeLongPrompt = (
  input: PlacementInput,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const listed = listFromRandom(candidates, input);
  const usable = input.mayQueue ? listed : listed.filter(mayPrefillLongPrompt);
  let best: Placement | undefined;
  const warm = usable.filter(({ isCold }) => !isCold);
  const mostEngines = Math.max(Math.min(1, usable.length), warm.length);
  for (const engineCount of listEngineCounts(input, mostEngines, traits)) {
    const placement = placeOnEngines(input, usable, traits, engineCount);
    if (placement !== undefined && (best === undefined || isBetter(placement, best))) {
      best = placement;
    }
    if (best?.disruption === 0 && best.firstEventMs <= input.splitTargetMs) return best;
  }
  return best;
};
