#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { startBalancer, type BalancerSettings } from './balancer/balancer-stand-in.js';
import { startEngine, type EngineSettings } from './engine/engine-stand-in.js';
import type { RunningServer } from './http/route-server.js';
import { startPlatform, type PlatformSettings } from './platform/platform-stand-in.js';
import { startService, type ServiceSettings } from './service/service-stand-in.js';

// Starts one stand-in as a process: a minimal replacement of a real component, for tests and demos.
// Once it listens, it prints a JSON line with its role and port.
const roleStarters: Readonly<Record<string, (settings: never) => Promise<RunningServer>>> = {
  balancer: (settings: BalancerSettings) => startBalancer(settings),
  engine: (settings: EngineSettings) => startEngine(settings),
  service: (settings: ServiceSettings) => startService(settings),
  platform: (settings: PlatformSettings) => startPlatform(settings),
};

const args = await yargs(hideBin(process.argv))
  .option('role', { choices: Object.keys(roleStarters), demandOption: true })
  .option('settings', { type: 'string', demandOption: true, describe: 'JSON, or a JSON file' })
  .strict()
  .parse();

const settingsJson = args.settings.startsWith('{')
  ? args.settings
  : readFileSync(args.settings, 'utf8');
const server = await roleStarters[args.role]?.(JSON.parse(settingsJson) as never);
process.stdout.write(`${JSON.stringify({ role: args.role, port: server?.port })}\n`);
