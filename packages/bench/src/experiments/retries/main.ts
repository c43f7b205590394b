/** Runs the retry storm experiment for several seeds and prints one line per phase. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runRetryStorm } from './retry-storm.js';

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 5, describe: 'number of seeds' })
  .option('rate', { type: 'number', default: 30, describe: 'requests per second' })
  .option('output-tokens', { type: 'number', default: 50, describe: 'output tokens per request' })
  .option('timeout-ms', { type: 'number', default: 10_000, describe: 'timeout of a request' })
  .option('dead-share', {
    type: 'number',
    default: 1 / 3,
    describe: 'fraction of the engines that crash',
  })
  .strict()
  .parse();

const { seed: firstSeed, seeds } = args;

for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
  const report = runRetryStorm({
    seed,
    requestsPerS: args.rate,
    outputTokens: args.outputTokens,
    timeoutMs: args.timeoutMs,
    entryVmsPerDomain: 3,
    enginesPerDomain: 5,
    crashedFraction: args.deadShare,
  });
  report.phases.forEach((phase) => {
    process.stdout.write(
      `seed ${seed} ${phase.name}: admitted ${phase.admitted}, attempts ${phase.attempts}, ` +
        `amplification ${phase.amplification.toFixed(3)}, finished ${phase.finished}, ` +
        `refused ${JSON.stringify(phase.refusedByCode)}\n`,
    );
  });
  process.stdout.write(`seed ${seed} unanswered: ${report.unanswered}\n`);
}
