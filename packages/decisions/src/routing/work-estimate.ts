import type { Engine } from '@savorywind/model';

const MS_PER_S = 1_000;

/** Context length at which prefill of one more token costs twice as much as of the first token. */
const ATTENTION_DOUBLING_TOKENS = 400_000;

/** Upper bound for decode estimates: most answers are much shorter than the caller's limit. */
const TYPICAL_OUTPUT_TOKENS = 256;

/** Prefill time of a prompt on an idle engine, in milliseconds. */
export const estimatePrefillMs = (engine: Engine, promptTokens: number): number => {
  const attention = promptTokens ** 2 / (2 * ATTENTION_DOUBLING_TOKENS);
  return ((promptTokens + attention) / engine.prefillTokensPerS) * MS_PER_S;
};

/** Decode time of an answer of typical length on an engine with a full batch, in milliseconds. */
export const estimateDecodeMs = (engine: Engine, maxOutputTokens: number): number =>
  (Math.min(maxOutputTokens, TYPICAL_OUTPUT_TOKENS) / engine.decodeTokensPerS) * MS_PER_S;

/** Largest KV cache use of a request, in tokens: its prompt plus its longest permitted answer. */
export const countMemoryTokens = (contract: {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}): number => contract.promptTokens + contract.maxOutputTokens;
