import { DEFAULT_ROUTER } from '@savorywind/decisions';
import { describeRuns } from './describe-runs.js';
import { runSeeds } from './run-fleet.js';
import type { PlotPoint, RunExperiment, TableRow } from './types.js';

const LOAD = 0.8;

const SLOWDOWN_WEIGHTS = [0, 0.25, 0.5, 0.75, 1];

/**
 * Compares values of the preset's `slowdownWeight`, which trades the slowdown of short requests
 * against the time to first token of long prompts.
 */
export const runPresets: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  const points: PlotPoint[] = [];
  SLOWDOWN_WEIGHTS.forEach((slowdownWeight) => {
    const runs = runSeeds(options, { router: DEFAULT_ROUTER, load: LOAD, slowdownWeight });
    const series = `slowdownWeight ${slowdownWeight}`;
    rows.push(describeRuns(series, runs));
    runs.forEach(({ summary }) => {
      points.push({ series, group: 'TTFT <10k p95', value: summary.firstTokenShortP95 });
      points.push({ series, group: 'TTFT >100k p50', value: summary.firstTokenLongP50 });
    });
    options.onProgress(series);
  });
  return { rows, plots: [{ title: 'Weight of the preset', valueTitle: 'seconds', points }] };
};
