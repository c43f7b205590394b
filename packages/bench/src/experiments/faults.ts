import { DEFAULT_ROUTER } from '@savorywind/decisions';
import { describeRuns } from './describe-runs.js';
import type { Fault } from './fleet/types.js';
import { runSeeds } from './run-fleet.js';
import type { PlotPoint, RunExperiment, TableRow } from './types.js';

const LOAD = 0.8;

/** Time from the start of the workload to the start of a fault. */
const FAULT_AT_MS = 60_000;

const FAULTS: Readonly<Record<string, readonly Fault[]>> = {
  'no fault': [],
  'a third of the engines dies': [{ kind: 'engineCrash', fraction: 1 / 3, atMs: FAULT_AT_MS }],
  'load reports 5 s old': [{ kind: 'staleLoad', lagMs: 5_000 }],
  'one in ten link messages lost': [{ kind: 'linkLoss', fraction: 0.1 }],
  'all link messages lost': [{ kind: 'linkLoss', fraction: 1 }],
  'a failure domain cut off': [{ kind: 'domainPartition', domain: 'domain-0', atMs: FAULT_AT_MS }],
};

/** Compares the default policy with the best baseline, `twoChoices`, under each fault and none. */
export const runFaults: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  const points: PlotPoint[] = [];
  Object.entries(FAULTS).forEach(([name, faults]) =>
    [DEFAULT_ROUTER, 'twoChoices' as const].forEach((router) => {
      const runs = runSeeds(options, { router, load: LOAD, faults });
      rows.push(describeRuns(`${router}, ${name}`, runs));
      runs.forEach(({ summary }) =>
        points.push({ series: name, group: router, value: summary.slowdownShortP95 }),
      );
      options.onProgress(`${router}, ${name}`);
    }),
  );
  const valueTitle = 'slowdown of short requests, 95 in 100';
  return { rows, plots: [{ title: `Faults on ${options.deployment}`, valueTitle, points }] };
};
