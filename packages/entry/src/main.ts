#!/usr/bin/env node
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EntryProcess } from './runtime/entry-process.js';
import { loadSettings } from './settings/load-settings.js';

const EXIT_SETTINGS_INVALID = 2;
const EXIT_START_FAILED = 3;

const args = await yargs(hideBin(process.argv))
  .scriptName('savorywind-entry')
  .option('settings', { type: 'string', demandOption: true, describe: 'JSON file with settings' })
  .strict()
  .parse();

const settings = loadSettings(args.settings);
if (settings.err) {
  process.stderr.write(`${settings.val}\n`);
  process.exit(EXIT_SETTINGS_INVALID);
}
const entry = new EntryProcess(settings.val, () => process.exit(0));
process.on('SIGTERM', () => entry.drain());
process.on('SIGINT', () => entry.drain());
process.on('SIGHUP', () => entry.reloadCertificate());
try {
  await entry.start();
} catch (error) {
  process.stderr.write(`${args.settings}: ${(error as Error).message}\n`);
  process.exit(EXIT_START_FAILED);
}
