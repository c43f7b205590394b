import fc from 'fast-check';
import { createFakeClock } from './fake-clock.js';
import { StepRunner, type RunSettings } from './step-runner.js';
import { createStepsArbitrary, type Step } from './steps.js';

/** Settings of a series of randomised runs, each with its own seed drawn from `seed`. */
export interface RandomisedRunSettings {
  readonly seed: number;
  readonly runs: number;
  /** Maximum number of steps per run. */
  readonly stepsPerRun: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
}

/** Report of randomised runs, printed as JSON; `checks` counts the checks of each guarantee. */
export interface RandomisedRunReport {
  readonly runs: number;
  readonly steps: number;
  readonly stepsByKind: Readonly<Record<string, number>>;
  readonly checks: Readonly<Record<string, number>>;
  readonly callersByOutcome: Readonly<Record<string, number>>;
  /** Smallest failing run found, with its error, seed and steps. */
  readonly failure: string | undefined;
}

const addCount = (counts: Map<string, number>, name: string, amount = 1): void => {
  counts.set(name, (counts.get(name) ?? 0) + amount);
};

/** Runs a list of steps on a paused clock; throws if a guarantee is violated. */
export const runSteps = (settings: RunSettings, steps: readonly Step[]): StepRunner => {
  const clock = createFakeClock();
  try {
    const runner = new StepRunner(clock, settings);
    runner.run(steps);
    return runner;
  } finally {
    clock.uninstall();
  }
};

/**
 * Runs random lists of steps, each on a new simulation, until `runs` of them have passed or one
 * violates a guarantee. Shrinks the list that does.
 *
 * @example
 * const report = runRandomised({ seed: 1, runs: 20, stepsPerRun: 200, entryVmsPerDomain: 3, enginesPerDomain: 2 });
 * if (report.failure !== undefined) console.error(report.failure);
 */
export const runRandomised = (settings: RandomisedRunSettings): RandomisedRunReport => {
  const { seed, runs, stepsPerRun, entryVmsPerDomain, enginesPerDomain } = settings;
  const stepsByKind = new Map<string, number>();
  const checks = new Map<string, number>();
  const callersByOutcome = new Map<string, number>();
  let runCount = 0;
  const property = fc.property(createStepsArbitrary(stepsPerRun), fc.nat(), (steps, runSeed) => {
    runCount += 1;
    steps.forEach(({ kind }) => addCount(stepsByKind, kind));
    const { simulation } = runSteps({ seed: runSeed, entryVmsPerDomain, enginesPerDomain }, steps);
    simulation.checkCounts.forEach((count, guarantee) => addCount(checks, guarantee, count));
    simulation.callers.forEach(({ outcome }) =>
      addCount(callersByOutcome, outcome?.kind ?? 'none'),
    );
  });
  const details = fc.check(property, { seed, numRuns: runs, endOnFailure: false });
  const [failingSteps, failingSeed] = details.counterexample ?? [];
  const failure = details.failed
    ? `${String(details.errorInstance)}\nseed ${failingSeed}, steps ${JSON.stringify(failingSteps)}`
    : undefined;
  return {
    runs: runCount,
    steps: [...stepsByKind.values()].reduce((sum, count) => sum + count, 0),
    stepsByKind: Object.fromEntries(stepsByKind),
    checks: Object.fromEntries(checks),
    callersByOutcome: Object.fromEntries(callersByOutcome),
    failure,
  };
};
