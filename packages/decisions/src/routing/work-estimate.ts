import type { Engine } from '@savorywind/model';

const MS_PER_S = 1_000;

/** Context length at which reading another prompt token costs twice as much as at the start. */
const ATTENTION_DOUBLING_TOKENS = 400_000;

/** Answers are mostly much shorter than the longest that the caller allows. */
const TYPICAL_OUTPUT_TOKENS = 256;

/** Time that an idle engine needs to read a prompt, in milliseconds. */
export const estimatePrefillMs = (engine: Engine, promptTokens: number): number => {
  const attention = promptTokens ** 2 / (2 * ATTENTION_DOUBLING_TOKENS);
  return ((promptTokens + attention) / engine.prefillTokensPerS) * MS_PER_S;
};

/** Time that an engine with a full batch needs to generate an answer of typical length. */
export const estimateDecodeMs = (engine: Engine, maxOutputTokens: number): number =>
  (Math.min(maxOutputTokens, TYPICAL_OUTPUT_TOKENS) / engine.decodeTokensPerS) * MS_PER_S;

/** KV memory that a request may come to hold. */
export const countMemoryTokens = (contract: {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}): number => contract.promptTokens + contract.maxOutputTokens;
