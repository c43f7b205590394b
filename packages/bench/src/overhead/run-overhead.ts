import type { RunExperiment } from '../experiments/types.js';
import { measureMemory } from './measure-memory.js';
import { measureRate } from './measure-rate.js';
import { measureShortRequests } from './measure-short-requests.js';
import { measureStreams } from './measure-streams.js';
import { startTestbed } from './start-testbed.js';
import type { Figures, Testbed } from './types.js';

const RUNS = 5;

/** Measurements on one entry VM, in an order in which none starts with a heap grown by another. */
const MEASUREMENTS: readonly ((testbed: Testbed) => Promise<Figures>)[] = [
  measureShortRequests,
  measureStreams,
  measureRate,
];

/** Runs measurements on a newly started entry VM. */
const measureOnNewVm = async (measurements: typeof MEASUREMENTS): Promise<Figures> => {
  const testbed = await startTestbed();
  try {
    const figures: Figures[] = [];
    for (const measure of measurements) figures.push(await measure(testbed));
    return Object.assign({}, ...figures) as Figures;
  } finally {
    await testbed.close();
  }
};

const formatFigure = (value: number): string => value.toPrecision(3);

/** Builds a table row with the median, lowest and highest value of all runs. */
const formatRow = (label: string, values: readonly number[]) => {
  const sorted = values.toSorted((a, b) => a - b);
  const read = (index: number): string => formatFigure(sorted[index] ?? Number.NaN);
  const cells = {
    median: read(Math.floor(RUNS / 2)),
    lowest: read(0),
    highest: read(RUNS - 1),
  };
  return { label, cells };
};

/**
 * Measures the overhead of one entry VM per request, token and stream: median and range of five
 * runs. Each run measures latency and throughput on both routes.
 */
export const runOverhead: RunExperiment = async ({ onProgress }) => {
  const runs: Figures[] = [];
  for (let run = 1; run <= RUNS; run += 1) {
    const figures = {
      ...(await measureOnNewVm(MEASUREMENTS)),
      ...(await measureOnNewVm([measureMemory])),
    };
    onProgress(`run ${run}: ${JSON.stringify(figures)}`);
    runs.push(figures);
  }
  const labels = Object.keys(runs[0] ?? {});
  const rows = labels.map((label) =>
    formatRow(
      label,
      runs.map((figures) => figures[label] ?? Number.NaN),
    ),
  );
  return { rows, plots: [] };
};
