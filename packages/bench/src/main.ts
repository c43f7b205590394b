/** Runs one experiment and writes its report: `npm run bench -- --experiment NAME`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { inProcessExperiments } from './experiments/index.js';
import type { RunExperiment } from './experiments/types.js';
import { writeReport } from './experiments/write-report.js';
import { runOverhead } from './overhead/run-overhead.js';

const experiments: Readonly<Record<string, RunExperiment>> = {
  ...inProcessExperiments,
  overhead: runOverhead,
};

const args = await yargs(hideBin(process.argv))
  .option('experiment', { choices: Object.keys(experiments), demandOption: true })
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 5, describe: 'number of seeds' })
  .option('minutes', { type: 'number', default: 10, describe: 'duration of a run in minutes' })
  .option('deployment', { type: 'string', default: 'stuhlwerk' })
  .option('out', { type: 'string', default: 'bench-results', describe: 'folder for the report' })
  .strict()
  .parse();

const { experiment, seed, seeds, minutes, deployment, out } = args;
const command = `npm run bench -- --experiment ${experiment} --seed ${seed} --seeds ${seeds} --minutes ${minutes} --deployment ${deployment}`;
const report = await experiments[experiment]?.({
  seed,
  seeds,
  minutes,
  deployment,
  onProgress: (text) => process.stderr.write(`${text}\n`),
});
if (report !== undefined) {
  const table = await writeReport(`${experiment}-${deployment}`, out, command, report);
  process.stdout.write(`${command}\n\n${table}\n`);
}
