#!/usr/bin/env node
import { hideBin } from 'yargs/helpers';
import { runCommand } from './run-command.js';

process.exitCode = await runCommand(hideBin(process.argv), {
  env: process.env,
  writeOut: (line) => process.stdout.write(`${line}\n`),
  writeErr: (line) => process.stderr.write(`${line}\n`),
  wait: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
  readNowMs: () => performance.now(),
});
