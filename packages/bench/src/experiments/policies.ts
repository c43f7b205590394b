import { routers, type RouterName } from '@savorywind/decisions';
import { describeRuns } from './describe-runs.js';
import { runSeeds } from './run-fleet.js';
import type { PlotPoint, RunExperiment, TableRow } from './types.js';

const LOADS = [0.8, 1.2];

/** Compares all placement policies on the same requests at 80% and 120% load. */
export const runPolicies: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  const points: PlotPoint[] = [];
  LOADS.forEach((load) =>
    (Object.keys(routers) as RouterName[]).forEach((router) => {
      const runs = runSeeds(options, { router, load });
      const row = describeRuns(`${router}, load ${load}`, runs);
      rows.push(row);
      runs.forEach(({ summary }) =>
        points.push({ series: router, group: `load ${load}`, value: summary.slowdownShortP95 }),
      );
      options.onProgress(row.label);
    }),
  );
  const valueTitle = 'slowdown of short requests, 95 in 100';
  return { rows, plots: [{ title: `Policies on ${options.deployment}`, valueTitle, points }] };
};
