/** One row of an experiment's result table; cells by column title. */
export interface TableRow {
  readonly label: string;
  readonly cells: Readonly<Record<string, string>>;
}

/** One point of a plot: `series` is its row on the y axis and `group` its colour. */
export interface PlotPoint {
  readonly series: string;
  readonly group: string;
  readonly value: number;
}

/** A scatter plot with values on a horizontal axis titled `valueTitle`. */
export interface ExperimentPlot {
  readonly title: string;
  readonly valueTitle: string;
  readonly points: readonly PlotPoint[];
}

export interface ExperimentReport {
  readonly rows: readonly TableRow[];
  readonly plots: readonly ExperimentPlot[];
}

export interface ExperimentOptions {
  /** First seed; runs use consecutive seeds from here. */
  readonly seed: number;
  /** Number of seeds. */
  readonly seeds: number;
  /** Duration of one run. */
  readonly minutes: number;
  /** Name of a deployment in `deployments`. */
  readonly deployment: string;
  /** Called with a progress message, such as the name of the case that has finished. */
  readonly onProgress: (text: string) => void;
}

/** Runs an experiment to completion and returns its tables and plots. */
export type RunExperiment = (
  options: ExperimentOptions,
) => ExperimentReport | Promise<ExperimentReport>;
