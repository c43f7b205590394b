import type { Engine } from '@savorywind/model';
import type { EnginePicker, FleetView } from './types.js';

const drawEngine = (engines: readonly Engine[], { context }: FleetView): Engine | undefined =>
  engines[Math.floor(context.drawRandom() * engines.length)];

const pickLeast = (
  engines: readonly (Engine | undefined)[],
  count: (engine: Engine) => number,
): Engine | undefined => {
  let best: Engine | undefined;
  let lowest = Infinity;
  engines.forEach((engine) => {
    if (engine === undefined) return;
    const value = count(engine);
    if (value >= lowest) return;
    lowest = value;
    best = engine;
  });
  return best;
};

/** Picks engines in turn, whatever their load; starts at a random one. */
export const createRoundRobinPicker = (): EnginePicker => {
  let next: number | undefined;
  return (engines, { context }) => {
    next = (next ?? Math.floor(context.drawRandom() * engines.length)) + 1;
    return engines[next % engines.length];
  };
};

/** Picks the engine with the least memory in use, according to the last load reports. */
export const createLeastLoadPicker = (): EnginePicker => (engines, view) =>
  pickLeast(engines, ({ id }) => view.estimateUsedTokens(id));

/** Draws two engines at random and picks the one with less memory in use. */
export const createTwoChoicesPicker = (): EnginePicker => (engines, view) =>
  pickLeast([drawEngine(engines, view), drawEngine(engines, view)], ({ id }) =>
    view.estimateUsedTokens(id),
  );
