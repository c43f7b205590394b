#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { parseConfiguration } from '@savorywind/model';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

const EXIT_INVALID = 2;

const checkFile = (file: string): void => {
  const parsed = parseConfiguration(JSON.parse(readFileSync(file, 'utf8')));
  if (parsed.ok) {
    process.stdout.write(`${file}: valid\n`);
    return;
  }
  parsed.val.forEach(({ path, message }) => {
    process.stderr.write(`${file}: ${path}: ${message}\n`);
  });
  process.exitCode = EXIT_INVALID;
};

await yargs(hideBin(process.argv))
  .scriptName('savorywind')
  .command(
    'check <file>',
    'check a declaration without changing anything',
    (command) => command.positional('file', { type: 'string', demandOption: true }),
    ({ file }) => checkFile(file),
  )
  .demandCommand(1)
  .strict()
  .parse();
