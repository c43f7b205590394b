import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse, View } from 'vega';
import { compile } from 'vega-lite';
import type { ExperimentPlot, ExperimentReport, TableRow } from './types.js';

const PLOT_WIDTH = 640;

/** Formats rows as a Markdown table; its columns are the union of all cell titles. */
export const formatTable = (rows: readonly TableRow[]): string => {
  const names = [...new Set(rows.flatMap(({ cells }) => Object.keys(cells)))];
  const lines = rows.map(({ label, cells }) =>
    ['', label, ...names.map((name) => cells[name] ?? ''), ''].join(' | ').trim(),
  );
  const head = ['', 'run', ...names, ''].join(' | ').trim();
  const rule = `|${' --- |'.repeat(names.length + 1)}`;
  return [head, rule, ...lines].join('\n');
};

/** Renders a plot as SVG. */
const renderPlot = async ({ title, valueTitle, points }: ExperimentPlot): Promise<string> => {
  const { spec } = compile({
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    width: PLOT_WIDTH,
    data: { values: points.map((point) => ({ ...point })) },
    mark: { type: 'point', filled: true },
    encoding: {
      y: { field: 'series', type: 'nominal', title: null, sort: null },
      x: { field: 'value', type: 'quantitative', title: valueTitle, scale: { type: 'symlog' } },
      color: { field: 'group', type: 'nominal', title: null },
    },
  });
  return new View(parse(spec), { renderer: 'none' }).toSVG();
};

/** Writes an experiment's table (`NAME.md`) and plots (`NAME-1.svg`, ...); returns the table. */
export const writeReport = async (
  name: string,
  folder: string,
  command: string,
  report: ExperimentReport,
): Promise<string> => {
  const table = formatTable(report.rows);
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, `${name}.md`), `Command: \`${command}\`\n\n${table}\n`);
  for (const [index, plot] of report.plots.entries()) {
    writeFileSync(join(folder, `${name}-${index + 1}.svg`), await renderPlot(plot));
  }
  return table;
};
