import type { EngineTraits } from '@savorywind/model';
import { placeLong } from './long-placement.js';
import {
  isIdle,
  type EngineCandidate,
  type Placement,
  type PlacementAsk,
} from './placement-estimates.js';
import { placeShort } from './short-placement.js';

const listIdle = (candidates: readonly EngineCandidate[]): string[] =>
  candidates.filter(isIdle).map(({ endpoint }) => endpoint.id);

const countSpareShare = (idle: readonly string[], placement: Placement, total: number): number => {
  const helpers = placement.helpers.map(({ endpoint }) => endpoint.id);
  const used = new Set([placement.endpoint.id, ...helpers]);
  return idle.filter((id) => !used.has(id)).length / total;
};

/**
 * Chooses engines for a generation. Answers a load that swings between many short prompts and a few
 * long ones: short ones share engines, long ones are read where no stream is disturbed, by several
 * engines where one would be late or has not the memory.
 *
 * @returns undefined where no engine has room
 */
export const placeGeneration = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const place = ask.isLong ? placeLong : placeShort;
  const placement = place(ask, candidates, traits);
  if (placement === undefined) return undefined;
  const idle = listIdle(candidates);
  return {
    ...placement,
    idleShare: idle.length / candidates.length,
    spareShare: countSpareShare(idle, placement, candidates.length),
  };
};
