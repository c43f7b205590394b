import { setTimeout as wait } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import type { Configuration } from '@savorywind/model';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createSmallConfiguration } from '../world/deployments.js';
import { MeasuredFleet } from './measured-fleet.js';

const LIMIT_MS = 30_000;
const LINK_UP_MS = 8_000;
const MS_PER_S = 1_000;

const args = await yargs(hideBin(process.argv))
  .option('nodes', { type: 'number', default: 9 })
  .option('changes', { type: 'number', default: 30 })
  .option('engines', { type: 'number', default: 15, describe: 'engines in the declarations' })
  .option('teams', { type: 'number', default: 10 })
  .option('idle', { type: 'number', default: 30, describe: 'seconds without a change, for bytes' })
  .option('links', { type: 'boolean', default: false })
  .strict()
  .parse();

const createConfiguration = (change: number): Configuration => {
  const small = createSmallConfiguration(Math.ceil(args.engines / 3));
  const [team] = small.teams;
  const teams = Array.from({ length: args.teams }, (_item, index) => ({
    ...team,
    id: `team-${index}`,
    weight: index === 0 ? change + 1 : 1,
  })) as Configuration['teams'];
  return { ...small, teams };
};

const waitEverywhere = async (fleet: MeasuredFleet, version: number): Promise<void> => {
  const endMs = performance.now() + LIMIT_MS;
  while (!fleet.hasEverywhere(version) && performance.now() < endMs) await wait(5);
};

const pickQuantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;

const summarise = (values: readonly number[]) => {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    count: sorted.length,
    p50: pickQuantile(sorted, 0.5),
    p95: pickQuantile(sorted, 0.95),
    p99: pickQuantile(sorted, 0.99),
    max: sorted.at(-1),
  };
};

const measureIdle = async (fleet: MeasuredFleet) => {
  const before = fleet.countPlatformBytes();
  await wait(args.idle * MS_PER_S);
  const bytes = fleet.countPlatformBytes() - before;
  return { platformBytesPerNodeAndS: Math.round(bytes / args.idle / args.nodes) };
};

const measureChanges = async (fleet: MeasuredFleet) => {
  const each: number[] = [];
  const all: number[] = [];
  const before = fleet.countPlatformBytes();
  for (let change = 0; change < args.changes; change += 1) {
    const { sentAtMs, version } = await fleet.commit(change, createConfiguration(change));
    await waitEverywhere(fleet, version);
    const times = [...(fleet.adopted.get(version)?.values() ?? [])].map((at) => at - sentAtMs);
    each.push(...times);
    if (times.length === args.nodes) all.push(Math.max(...times));
  }
  const bytes = fleet.countPlatformBytes() - before;
  return {
    inForceOnEachMs: summarise(each),
    inForceEverywhereMs: summarise(all),
    platformBytesPerNodeAndChange: Math.round(bytes / args.changes / args.nodes),
  };
};

const documentBytes = (): object => {
  const configuration = createConfiguration(0);
  return {
    json: JSON.stringify(configuration).length,
    msgpack: new Packr().pack(configuration).length,
  };
};

const fleet = await MeasuredFleet.start(args.nodes);
try {
  if (args.links) {
    await fleet.fillMembership();
    await wait(LINK_UP_MS);
  }
  const changes = await measureChanges(fleet);
  const idle = await measureIdle(fleet);
  const { nodes, engines, teams, links } = args;
  const report = {
    nodes,
    engines,
    teams,
    links,
    documentBytes: documentBytes(),
    ...changes,
    ...idle,
  };
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
} finally {
  fleet.stop();
}
