import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runRandomised, type RandomisedRunReport } from '../simulation/randomised-run.js';

const RUNS_PER_ROUND = 25;
const MS_PER_MINUTE = 60_000;

// Performs randomised runs in rounds, each with a new seed, until the time or the number of steps
// is reached or a run fails. Prints a report as JSON.
const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'seed of the first round' })
  .option('minutes', { type: 'number', default: 1, describe: 'time during which rounds start' })
  .option('max-steps', { type: 'number', default: Infinity, describe: 'total number of steps' })
  .option('steps', { type: 'number', default: 200, describe: 'maximum number of steps per run' })
  .strict()
  .parse();

const addCounts = (
  sums: Record<string, number>,
  counts: Readonly<Record<string, number>>,
): void => {
  Object.entries(counts).forEach(([name, count]) => {
    sums[name] = (sums[name] ?? 0) + count;
  });
};

const endMs = Date.now() + args.minutes * MS_PER_MINUTE;
const sums = { rounds: 0, runs: 0, steps: 0 };
const stepsByKind: Record<string, number> = {};
const checks: Record<string, number> = {};
const callersByOutcome: Record<string, number> = {};
let failure: string | undefined;

const addReport = (report: RandomisedRunReport): void => {
  sums.rounds += 1;
  sums.runs += report.runs;
  sums.steps += report.steps;
  addCounts(stepsByKind, report.stepsByKind);
  addCounts(checks, report.checks);
  addCounts(callersByOutcome, report.callersByOutcome);
  failure = report.failure;
};

while (Date.now() < endMs && sums.steps < args.maxSteps && failure === undefined) {
  const seed = args.seed + sums.rounds;
  addReport(
    runRandomised({
      seed,
      runs: RUNS_PER_ROUND,
      stepsPerRun: args.steps,
      entryVmsPerDomain: 3,
      enginesPerDomain: 2,
    }),
  );
  if (failure !== undefined) process.stderr.write(`round with seed ${seed}: ${failure}\n`);
}

process.stdout.write(
  `${JSON.stringify({ firstSeed: args.seed, ...sums, stepsByKind, checks, callersByOutcome }, null, 2)}\n`,
);
process.exitCode = failure === undefined ? 0 : 1;
