/** Prompt lengths that are told apart in metrics, by their upper bounds in tokens. */
const BANDS = [
  { label: '1k', maxTokens: 1_000 },
  { label: '10k', maxTokens: 10_000 },
  { label: '100k', maxTokens: 100_000 },
  { label: '1M', maxTokens: 1_000_000 },
] as const;

export type LengthBand = (typeof BANDS)[number]['label'] | 'over1M' | 'none';

/** Finds the band of a prompt; "1k" holds prompts up to a thousand tokens. */
export const findLengthBand = (promptTokens: number): LengthBand =>
  BANDS.find(({ maxTokens }) => promptTokens <= maxTokens)?.label ?? 'over1M';
