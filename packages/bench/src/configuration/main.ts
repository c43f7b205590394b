/**
 * Measures how long configuration changes take until entry VMs adopt them, and the traffic with the
 * platform, in a fleet of processes. Prints a report as JSON.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import type { Configuration } from '@savorywind/model';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createSmallConfiguration } from '../simulation/deployments.js';
import { MeasuredFleet } from './measured-fleet.js';

/** Longest wait until all entry VMs have adopted a change. */
const ADOPTION_TIMEOUT_MS = 30_000;

/** Time for entry VMs to open links after the membership list is written. */
const LINK_SETUP_MS = 8_000;

const MS_PER_S = 1_000;

const args = await yargs(hideBin(process.argv))
  .option('nodes', { type: 'number', default: 9 })
  .option('changes', { type: 'number', default: 30 })
  .option('engines', { type: 'number', default: 15, describe: 'engines in the configuration' })
  .option('teams', { type: 'number', default: 10 })
  .option('idle', { type: 'number', default: 30, describe: 'seconds of idle traffic to measure' })
  .option('links', { type: 'boolean', default: false })
  .strict()
  .parse();

/** Creates a configuration of the requested size; each change number gives a different one. */
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

/** Waits until all entry VMs have adopted a version, or until the timeout. */
const waitForAdoption = async (fleet: MeasuredFleet, version: number): Promise<void> => {
  const endMs = performance.now() + ADOPTION_TIMEOUT_MS;
  while (!fleet.isAdoptedEverywhere(version) && performance.now() < endMs) await wait(5);
};

const findQuantile = (sorted: readonly number[], quantile: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? Number.NaN;

const buildSummary = (values: readonly number[]) => {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    count: sorted.length,
    p50: findQuantile(sorted, 0.5),
    p95: findQuantile(sorted, 0.95),
    p99: findQuantile(sorted, 0.99),
    max: sorted.at(-1),
  };
};

/** Measures the traffic with the platform while nothing changes. */
const measureIdle = async (fleet: MeasuredFleet) => {
  const before = fleet.countPlatformBytes();
  await wait(args.idle * MS_PER_S);
  const bytes = fleet.countPlatformBytes() - before;
  return { platformBytesPerNodeAndS: Math.round(bytes / args.idle / args.nodes) };
};

/** Commits changes one after another and measures the times until they are adopted. */
const measureChanges = async (fleet: MeasuredFleet) => {
  const nodeTimesMs: number[] = [];
  const fleetTimesMs: number[] = [];
  const before = fleet.countPlatformBytes();
  for (let change = 0; change < args.changes; change += 1) {
    const { sentAtMs, version } = await fleet.commit(change, createConfiguration(change));
    await waitForAdoption(fleet, version);
    const timesMs = [...(fleet.adoptionTimes.get(version)?.values() ?? [])].map(
      (adoptedAtMs) => adoptedAtMs - sentAtMs,
    );
    nodeTimesMs.push(...timesMs);
    if (timesMs.length === args.nodes) fleetTimesMs.push(Math.max(...timesMs));
  }
  const bytes = fleet.countPlatformBytes() - before;
  return {
    inForceOnEachMs: buildSummary(nodeTimesMs),
    inForceEverywhereMs: buildSummary(fleetTimesMs),
    platformBytesPerNodeAndChange: Math.round(bytes / args.changes / args.nodes),
  };
};

const measureDocumentBytes = (): object => {
  const configuration = createConfiguration(0);
  return {
    json: JSON.stringify(configuration).length,
    msgpack: new Packr().pack(configuration).length,
  };
};

const fleet = await MeasuredFleet.start(args.nodes);
try {
  if (args.links) {
    await fleet.writeMembership();
    await wait(LINK_SETUP_MS);
  }
  const changes = await measureChanges(fleet);
  const idle = await measureIdle(fleet);
  const { nodes, engines, teams, links } = args;
  const report = {
    nodes,
    engines,
    teams,
    links,
    documentBytes: measureDocumentBytes(),
    ...changes,
    ...idle,
  };
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
} finally {
  fleet.stop();
}
