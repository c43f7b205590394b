/** One line of an experiment's table. */
export interface TableRow {
  readonly label: string;
  readonly cells: Readonly<Record<string, string>>;
}

/** A point of an experiment's plot. */
export interface PlotPoint {
  readonly series: string;
  readonly group: string;
  readonly value: number;
}

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
  /** First seed; further ones follow on. */
  readonly seed: number;
  readonly seeds: number;
  readonly minutes: number;
  readonly deployment: string;
  /** Shows how far the experiment has come. */
  readonly onProgress: (text: string) => void;
}

/** Runs an experiment to its end. */
export type RunExperiment = (
  options: ExperimentOptions,
) => ExperimentReport | Promise<ExperimentReport>;
