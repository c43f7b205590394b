import { DEFAULT_ROUTER, type RouterName } from '@savorywind/decisions';
import { measureRun } from './fleet/summary.js';
import { describeRuns } from './describe-runs.js';
import { runSeeds, type FleetRun } from './run-fleet.js';
import type { RunExperiment, TableRow } from './types.js';

const LOAD = 0.7;

/** Additional load of the largest team, as a fraction of the fleet's capacity. */
const EXTRA_LOAD = 0.7;

/** Index of the team with the highest request rate. */
const OVERLOADING_TEAM = 0;

/** Recomputes the figures of a run without the requests of the overloading team. */
const keepOtherTeams = ({ settings, report }: FleetRun): FleetRun => {
  const results = report.results.filter(
    ({ planned }) => planned.contract.team !== `team-${OVERLOADING_TEAM}`,
  );
  const otherTeams = { ...report, results };
  return { settings, report: otherTeams, summary: measureRun(settings, otherTeams) };
};

/** Measures how the other teams are affected when the largest team overloads the fleet. */
export const runTeamOverload: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  const names: RouterName[] = [DEFAULT_ROUTER, 'homeNoFairness', 'twoChoices'];
  names.forEach((router) => {
    const extraLoad = { team: OVERLOADING_TEAM, load: EXTRA_LOAD };
    const baseline = runSeeds(options, { router, load: LOAD }).map(keepOtherTeams);
    const overloaded = runSeeds(options, { router, load: LOAD, extraLoad }).map(keepOtherTeams);
    rows.push(describeRuns(`${router}, other teams without the flood`, baseline));
    rows.push(describeRuns(`${router}, other teams beside the flood`, overloaded));
    options.onProgress(router);
  });
  return { rows, plots: [] };
};
