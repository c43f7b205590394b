import type { EngineTraits } from '@savorywind/model';
import { placeLongPrompt } from './place-long-prompt.js';
import {
  isIdle,
  type EngineCandidate,
  type Placement,
  type PlacementInput,
} from './placement-estimates.js';
import { placeShortPrompt } from './place-short-prompt.js';

const listIdle = (candidates: readonly EngineCandidate[]): string[] =>
  candidates.filter(isIdle).map(({ endpoint }) => endpoint.id);

const measureRemainingIdleFraction = (
  idle: readonly string[],
  placement: Placement,
  total: number,
): number => {
  const helpers = placement.helpers.map(({ endpoint }) => endpoint.id);
  const used = new Set([placement.endpoint.id, ...helpers]);
  return idle.filter((id) => !used.has(id)).length / total;
};

/**
 * Chooses engines for a generation, for a load that mixes many short prompts with a few long ones.
 * Short prompts share engines. Long prompts are prefilled on engines whose streams they do not
 * disrupt, and on several engines where one alone would be late or lacks the memory.
 *
 * @returns undefined if no engine has capacity
 */
export const placeGeneration = (
  input: PlacementInput,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const place = input.isLong ? placeLongPrompt : placeShortPrompt;
  const placement = place(input, candidates, traits);
  if (placement === undefined) return undefined;
  const idle = listIdle(candidates);
  return {
    ...placement,
    idleFraction: idle.length / candidates.length,
    remainingIdleFraction: measureRemainingIdleFraction(idle, placement, candidates.length),
  };
};
