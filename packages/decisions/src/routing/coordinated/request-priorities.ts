const SHORTEST_PROMPT_TOKENS = 1_000;

const HIGHEST_PRIORITY = 20;

/** Priority classes per doubling of the prompt length at slowdown weight 1. */
const CLASSES_PER_DOUBLING = 2;

/**
 * Priority of a prompt on an engine by its length; a higher number is served first. Weight 1 lowers
 * the priority by two classes per doubling of the length. Weight 0 puts all prompts in one class,
 * which the engine serves in order of arrival.
 *
 * @example
 * rankLength(1_000, 1); // 20
 * rankLength(8_000, 1); // 14
 */
export const rankLength = (promptTokens: number, slowdownWeight: number): number => {
  const doublings = Math.max(0, Math.log2(promptTokens / SHORTEST_PROMPT_TOKENS));
  return HIGHEST_PRIORITY - Math.floor(doublings * CLASSES_PER_DOUBLING * slowdownWeight);
};

/**
 * Distance between priority bands: light requests are above heavy ones, and light requests of teams
 * within their fair share are above those of other teams.
 */
const PRIORITY_BAND_STEP = 2 * HIGHEST_PRIORITY;

/** What determines the priority of a request on an engine. */
export interface PriorityInputs {
  readonly promptTokens: number;
  readonly isLight: boolean;
  /** Whether the team is over its fair share while the engine has a backlog. */
  readonly isOverShare: boolean;
  readonly slowdownWeight: number;
}

/**
 * Priority of a request on an engine: light requests of teams within their fair share first, then
 * other light requests, then heavy requests.
 */
export const rankRequest = (inputs: PriorityInputs): number => {
  const rank = rankLength(inputs.promptTokens, inputs.slowdownWeight);
  if (!inputs.isLight) return rank;
  return rank + (inputs.isOverShare ? PRIORITY_BAND_STEP : 2 * PRIORITY_BAND_STEP);
};
