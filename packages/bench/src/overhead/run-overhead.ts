import type { RunExperiment } from '../experiments/types.js';
import { measureMemory } from './measure-memory.js';
import { measureRate } from './measure-rate.js';
import { measureShort } from './measure-short.js';
import { measureStreams } from './measure-streams.js';
import { startBench } from './start-bench.js';
import type { Bench, Figures } from './types.js';

const RUNS = 5;

/** In this order, so that no measurement starts with a heap that another one has grown. */
const MEASURES: readonly ((bench: Bench) => Promise<Figures>)[] = [
  measureShort,
  measureStreams,
  measureRate,
];

/** Runs measures on an entry VM of its own. */
const measureFresh = async (measures: typeof MEASURES): Promise<Figures> => {
  const bench = await startBench();
  try {
    const figures: Figures[] = [];
    for (const measure of measures) figures.push(await measure(bench));
    return Object.assign({}, ...figures) as Figures;
  } finally {
    await bench.close();
  }
};

const formatFigure = (value: number): string => value.toPrecision(3);

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

/** What one entry VM adds to requests and tokens: the median of five runs, both sides in each. */
export const runOverhead: RunExperiment = async ({ onProgress }) => {
  const runs: Figures[] = [];
  for (let run = 1; run <= RUNS; run += 1) {
    const figures = { ...(await measureFresh(MEASURES)), ...(await measureFresh([measureMemory])) };
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
