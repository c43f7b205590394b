const SHORTEST_PROMPT_TOKENS = 1_000;

const HIGHEST_PRIORITY = 20;

/** Classes of each doubling of the length where only the slowdown counts. */
const CLASSES_PER_DOUBLING = 2;

/**
 * Priority of a prompt at an engine. Weight 1 orders by length alone, two classes for each doubling;
 * weight 0 puts all in one class, so that the engine's own order, first come first served, holds.
 *
 * @example
 * rankLength(1_000, 1); // 20
 * rankLength(8_000, 1); // 14
 */
export const rankLength = (promptTokens: number, slowdownWeight: number): number => {
  const doublings = Math.max(0, Math.log2(promptTokens / SHORTEST_PROMPT_TOKENS));
  return HIGHEST_PRIORITY - Math.floor(doublings * CLASSES_PER_DOUBLING * slowdownWeight);
};

/** Priority of light prompts over heavy ones, and within their share over teams beyond it. */
const BAND_STEP = 2 * HIGHEST_PRIORITY;

/** What decides the priority of a request at an engine. */
export interface PriorityFacts {
  readonly promptTokens: number;
  readonly light: boolean;
  /** Whether its team uses more than its share while the engine has work. */
  readonly overShare: boolean;
  readonly slowdownWeight: number;
}

/** Light ones of teams within their share first, then light ones of other teams, then heavy ones. */
export const rankRequest = (facts: PriorityFacts): number => {
  const rank = rankLength(facts.promptTokens, facts.slowdownWeight);
  if (!facts.light) return rank;
  return rank + (facts.overShare ? BAND_STEP : 2 * BAND_STEP);
};
