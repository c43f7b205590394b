/**
 * What a retained prefix is worth for one request: the prefill time that it saves against the wait
 * for it and against what other prompts lose. The only decision of the feature; without state.
 */
import { estimatePrefillMs } from '../work-estimate.js';
import type { PrefixCandidate, PrefixDemand, PrefixEstimate } from './types.js';

/**
 * Estimates the prefill time that a retained prefix saves, attention included, in milliseconds.
 * The last token of a prompt is always read.
 *
 * @example
 * estimateSavedMs({ engine, keptTokens: 8_192, probability: 1 }, 9_000); // 414 at 20,000 tokens/s
 */
export const estimateSavedMs = (
  {
    engine,
    keptTokens,
    probability,
  }: Pick<PrefixCandidate, 'engine' | 'keptTokens' | 'probability'>,
  promptTokens: number,
): number =>
  probability * estimatePrefillMs(engine, Math.max(0, Math.min(keptTokens, promptTokens - 1)));

/** Estimates the prefill time of the prefixes that a request displaces and that are used again. */
const estimateLossMs = (
  { engine, freeTokens, retainedTokens, reuseFraction }: PrefixCandidate,
  { memoryTokens }: PrefixDemand,
): number => {
  const displacedTokens = retainedTokens + memoryTokens - Math.max(0, freeTokens);
  if (displacedTokens <= 0) return 0;
  return reuseFraction * estimatePrefillMs(engine, Math.min(displacedTokens, retainedTokens));
};

/** Estimates the effects of placing a request on a candidate. */
export const estimatePrefixCost = (
  candidate: PrefixCandidate,
  demand: PrefixDemand,
): PrefixEstimate => {
  const savedMs = estimateSavedMs(candidate, demand.promptTokens);
  const lossMs = estimateLossMs(candidate, demand);
  return { savedMs, lossMs, costMs: candidate.waitMs - savedMs + lossMs };
};

/**
 * Picks the candidate with the lowest cost, the first one among equals. A candidate without memory
 * for the request is left out. A prefix therefore never decides for an engine whose wait is longer
 * than that of another candidate by more than it saves.
 *
 * @returns undefined if no candidate has memory for the request
 */
export const pickByPrefixCost = <Candidate extends PrefixCandidate>(
  candidates: readonly Candidate[],
  demand: PrefixDemand,
): Candidate | undefined => {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  candidates.forEach((candidate) => {
    if (candidate.freeTokens < demand.memoryTokens) return;
    const { costMs } = estimatePrefixCost(candidate, demand);
    if (costMs >= bestMs) return;
    best = candidate;
    bestMs = costMs;
  });
  return best;
};
