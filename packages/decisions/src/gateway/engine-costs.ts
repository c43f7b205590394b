import type { EngineTraits } from '@savorywind/model';

const PAIRS_PER_MILLION = 1_000_000;
const TOKENS_PER_THOUSAND = 1_000;

/**
 * Time that one idle engine takes to read a prompt, in milliseconds.
 *
 * @example
 * estimateReadMs(traits, 5_000); // 34 at 154 tokens a millisecond and 0.16 ms a million pairs
 */
export const estimateReadMs = (traits: EngineTraits, tokens: number): number => {
  const pairs = (tokens * tokens) / 2 / PAIRS_PER_MILLION;
  return tokens / traits.readTokensPerMs + pairs * traits.readMsPerMillionPairs;
};

/** Time of a pass in which nothing is read, in milliseconds: the pause between two events. */
export const estimatePassMs = (
  traits: EngineTraits,
  writers: number,
  contextTokens: number,
): number => {
  const contextMs = (contextTokens / TOKENS_PER_THOUSAND) * traits.stepMsPerThousandContext;
  return traits.stepsPerPass * (traits.stepMs + writers * traits.stepMsPerWriter + contextMs);
};
