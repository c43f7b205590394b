import { DEFAULT_ROUTER, type RouterName } from '@savorywind/decisions';
import { measureRun } from './fleet/summary.js';
import { describeRuns } from './describe-runs.js';
import { runSeeds, type FleetRun } from './run-fleet.js';
import type { RunExperiment, TableRow } from './types.js';

const LOAD = 0.7;

/** The largest team sends this much more, as a share of what the fleet can do. */
const FLOOD_LOAD = 0.7;

const FLOODING_TEAM = 0;

/** Figures of all teams but the one that floods. */
const keepOthers = ({ settings, report }: FleetRun): FleetRun => {
  const results = report.results.filter(
    ({ planned }) => planned.contract.team !== `team-${FLOODING_TEAM}`,
  );
  const kept = { ...report, results };
  return { settings, report: kept, summary: measureRun(settings, kept) };
};

/** What a large team's flood does to the other teams. */
export const runFlood: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  const names: RouterName[] = [DEFAULT_ROUTER, 'homeNoFairness', 'twoChoices'];
  names.forEach((router) => {
    const flood = { team: FLOODING_TEAM, load: FLOOD_LOAD };
    const quiet = runSeeds(options, { router, load: LOAD }).map(keepOthers);
    const flooded = runSeeds(options, { router, load: LOAD, flood }).map(keepOthers);
    rows.push(describeRuns(`${router}, other teams without the flood`, quiet));
    rows.push(describeRuns(`${router}, other teams beside the flood`, flooded));
    options.onProgress(router);
  });
  return { rows, plots: [] };
};
