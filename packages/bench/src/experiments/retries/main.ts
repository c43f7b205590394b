import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runRetryStorm } from './retry-storm.js';

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 5, describe: 'number of seeds' })
  .option('rate', { type: 'number', default: 30, describe: 'requests a second' })
  .option('output-tokens', { type: 'number', default: 50, describe: 'length of an answer' })
  .option('timeout-ms', { type: 'number', default: 10_000, describe: 'deadline of a request' })
  .option('dead-share', { type: 'number', default: 1 / 3, describe: 'engines that die at once' })
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
    deadShare: args.deadShare,
  });
  report.windows.forEach((span) => {
    process.stdout.write(
      `seed ${seed} ${span.name}: admitted ${span.admitted}, attempts ${span.attempts}, ` +
        `amplification ${span.amplification.toFixed(3)}, finished ${span.finished}, ` +
        `refused ${JSON.stringify(span.refusedByCode)}\n`,
    );
  });
  process.stdout.write(`seed ${seed} unanswered: ${report.unanswered}\n`);
}
