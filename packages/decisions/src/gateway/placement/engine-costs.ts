import type { EngineTraits } from '@savorywind/model';

const PAIRS_PER_MILLION = 1_000_000;
const TOKENS_PER_THOUSAND = 1_000;

/**
 * Estimates the prefill time of a prompt on one idle engine, in milliseconds.
 *
 * @example
 * estimatePrefillMs(traits, 5_000); // 34 at 154 tokens a millisecond and 0.16 ms a million pairs
 */
export const estimatePrefillMs = (traits: EngineTraits, tokens: number): number => {
  const pairs = (tokens * tokens) / 2 / PAIRS_PER_MILLION;
  return tokens / traits.readTokensPerMs + pairs * traits.readMsPerMillionPairs;
};

/**
 * Estimates the time of a pass without prefill, in milliseconds, which is the pause between two
 * events of a stream.
 *
 * @param streams number of streams that decode in the pass
 * @param contextTokens context of these requests together
 */
export const estimatePassMs = (
  traits: EngineTraits,
  streams: number,
  contextTokens: number,
): number => {
  const contextMs = (contextTokens / TOKENS_PER_THOUSAND) * traits.stepMsPerThousandContext;
  return traits.stepsPerPass * (traits.stepMs + streams * traits.stepMsPerWriter + contextMs);
};
