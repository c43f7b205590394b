/** Ranges of prompt lengths that metrics distinguish, by their upper bounds in tokens. */
const BANDS = [
  { label: '1k', maxTokens: 1_000 },
  { label: '10k', maxTokens: 10_000 },
  { label: '100k', maxTokens: 100_000 },
  { label: '1M', maxTokens: 1_000_000 },
] as const;

/** Label of a range of prompt lengths; `none` for requests without a prompt. */
export type LengthBand = (typeof BANDS)[number]['label'] | 'over1M' | 'none';

/** Finds the range of a prompt's length; "1k" covers prompts of up to 1,000 tokens. */
export const findLengthBand = (promptTokens: number): LengthBand =>
  BANDS.find(({ maxTokens }) => promptTokens <= maxTokens)?.label ?? 'over1M';
