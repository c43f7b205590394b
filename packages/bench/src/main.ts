import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runOverhead } from './overhead/run-overhead.js';

const experiments = { overhead: runOverhead } as const;

const args = await yargs(hideBin(process.argv))
  .option('experiment', { choices: ['overhead'] as const, demandOption: true })
  .option('seed', { type: 'number', default: 1 })
  .option('out', { type: 'string', default: 'bench-results', describe: 'folder for the report' })
  .strict()
  .parse();

const { rows } = await experiments[args.experiment]({
  onProgress: (text) => process.stderr.write(`${text}\n`),
});
const lines = rows.map(({ label, cells }) => `| ${label} | ${Object.values(cells).join(' | ')} |`);
const table = ['| | median | lowest | highest |', '| - | - | - | - |', ...lines].join('\n');
mkdirSync(args.out, { recursive: true });
writeFileSync(join(args.out, `${args.experiment}.md`), `${table}\n`);
process.stdout.write(`${table}\n`);
