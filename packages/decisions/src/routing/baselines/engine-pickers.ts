import type { Engine } from '@savorywind/model';
import type { EnginePicker, FleetView } from './types.js';

const drawEngine = (engines: readonly Engine[], { context }: FleetView): Engine | undefined =>
  engines[Math.floor(context.drawRandom() * engines.length)];

const pickLess = (
  engines: readonly (Engine | undefined)[],
  count: (engine: Engine) => number,
): Engine | undefined => {
  let best: Engine | undefined;
  let least = Infinity;
  engines.forEach((engine) => {
    if (engine === undefined) return;
    const value = count(engine);
    if (value >= least) return;
    least = value;
    best = engine;
  });
  return best;
};

/** One after the other, whatever their load. */
export const createRoundRobinPicker = (): EnginePicker => {
  let next: number | undefined;
  return (engines, { context }) => {
    next = (next ?? Math.floor(context.drawRandom() * engines.length)) + 1;
    return engines[next % engines.length];
  };
};

/** The one with the least memory in use by its last report. */
export const createLeastLoadPicker = (): EnginePicker => (engines, view) =>
  pickLess(engines, ({ id }) => view.estimateUsedTokens(id));

/** The better of two that are drawn. */
export const createTwoChoicesPicker = (): EnginePicker => (engines, view) =>
  pickLess([drawEngine(engines, view), drawEngine(engines, view)], ({ id }) =>
    view.estimateUsedTokens(id),
  );
