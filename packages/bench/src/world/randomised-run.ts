import fc from 'fast-check';
import { createFakeClock } from './clock.js';
import { StepRunner, type RunSettings } from './step-runner.js';
import { createStepsArbitrary, type Step } from './steps.js';

export interface RandomisedRunSettings {
  readonly seed: number;
  readonly runs: number;
  readonly stepsPerRun: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
}

/** What randomised runs did, and how often each promise was checked. */
export interface RandomisedRunReport {
  readonly runs: number;
  readonly steps: number;
  readonly stepsByKind: Readonly<Record<string, number>>;
  readonly checks: Readonly<Record<string, number>>;
  readonly callersByOutcome: Readonly<Record<string, number>>;
  /** The smallest failing run that was found, with the message of the broken promise. */
  readonly failure: string | undefined;
}

const addCount = (counts: Map<string, number>, name: string, by = 1): void => {
  counts.set(name, (counts.get(name) ?? 0) + by);
};

/** Carries out one list of steps on the paused clock; throws where a promise is broken. */
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
 * Runs random steps on worlds of their own until a promise is broken or the runs are used up.
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
  let count = 0;
  const property = fc.property(createStepsArbitrary(stepsPerRun), fc.nat(), (steps, runSeed) => {
    count += 1;
    steps.forEach(({ kind }) => addCount(stepsByKind, kind));
    const { world } = runSteps({ seed: runSeed, entryVmsPerDomain, enginesPerDomain }, steps);
    world.counts.forEach((number, promise) => addCount(checks, promise, number));
    world.callers.forEach(({ outcome }) => addCount(callersByOutcome, outcome?.kind ?? 'none'));
  });
  const details = fc.check(property, { seed, numRuns: runs, endOnFailure: false });
  const [failingSteps, failingSeed] = details.counterexample ?? [];
  const failure = details.failed
    ? `${String(details.errorInstance)}\nseed ${failingSeed}, steps ${JSON.stringify(failingSteps)}`
    : undefined;
  return {
    runs: count,
    steps: [...stepsByKind.values()].reduce((sum, number) => sum + number, 0),
    stepsByKind: Object.fromEntries(stepsByKind),
    checks: Object.fromEntries(checks),
    callersByOutcome: Object.fromEntries(callersByOutcome),
    failure,
  };
};
