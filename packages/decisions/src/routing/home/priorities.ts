const SHORTEST_PROMPT_TOKENS = 1_000;

const HIGHEST_PRIORITY = 20;

/**
 * Priority of a prompt at an engine. Weight 1 orders by length alone, a class for each doubling;
 * weight 0 puts all in one class, so that the engine's own order, first come first served, holds.
 *
 * @example
 * rankLength(1_000, 1); // 20
 * rankLength(8_000, 1); // 17
 */
export const rankLength = (promptTokens: number, slowdownWeight: number): number => {
  const doublings = Math.max(0, Math.log2(promptTokens / SHORTEST_PROMPT_TOKENS));
  return HIGHEST_PRIORITY - Math.floor(doublings * slowdownWeight);
};

/** Below all classes: for teams over their share while an engine has work. */
export const OVER_SHARE_PENALTY = HIGHEST_PRIORITY;
