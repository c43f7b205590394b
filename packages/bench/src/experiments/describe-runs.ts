import type { RunSummary } from './fleet/summary.js';
import { formatMeanWithRange } from './format-numbers.js';
import type { FleetRun } from './run-fleet.js';
import type { TableRow } from './types.js';

/** Column titles in table order, with the summary field that each shows. Times are in seconds. */
const COLUMNS: Readonly<Record<string, keyof RunSummary>> = {
  'TTFT <10k p50': 'firstTokenShortP50',
  'TTFT <10k p95': 'firstTokenShortP95',
  'TTFT <10k p99': 'firstTokenShortP99',
  'TTFT 10k–100k p50': 'firstTokenMiddleP50',
  'TTFT 10k–100k p95': 'firstTokenMiddleP95',
  'TTFT 10k–100k p99': 'firstTokenMiddleP99',
  'TTFT >100k p50': 'firstTokenLongP50',
  'TTFT >100k p95': 'firstTokenLongP95',
  'TTFT >100k p99': 'firstTokenLongP99',
  'slowdown <10k p95': 'slowdownShortP95',
  'slowdown <10k p99': 'slowdownShortP99',
  'review latency p50': 'longLatencyP50',
  'reviews in time': 'longFinished',
  'reviews refused': 'longRefused',
  refused: 'refused',
  'of these at once': 'refusedAtOnce',
  late: 'late',
  failed: 'failed',
  goodput: 'goodput',
  'link B/s a node': 'linkBytesPerS',
  'engine calls/s a node': 'engineCallsPerS',
  'decision p50 µs': 'decisionP50Us',
  'decision p99 µs': 'decisionP99Us',
};

/** Builds a table row from runs that differ only in their seed: mean, lowest and highest value. */
export const describeRuns = (label: string, runs: readonly FleetRun[]): TableRow => ({
  label,
  cells: Object.fromEntries(
    Object.entries(COLUMNS).map(([title, key]) => [
      title,
      formatMeanWithRange(runs.map(({ summary }) => summary[key])),
    ]),
  ),
});
