/** Measurements taken of each request, each with its own histogram. */
export type MeasureName = 'firstToken' | 'betweenTokens' | 'total' | 'queueing' | 'slowdown';

interface MetricDescription {
  readonly metric: string;
  readonly help: string;
  /** Recorded values are integers in a finer unit; this many make one unit of the metric. */
  readonly recordedUnitsPerUnit: number;
  /** Upper bounds of the histogram buckets, in the unit of the metric. */
  readonly bounds: readonly number[];
}

const MICROSECONDS_PER_S = 1_000_000;
/** Slowdown ratios are recorded in thousandths. */
const SLOWDOWN_UNITS = 1_000;

const SECONDS_BOUNDS = [0.01, 0.05, 0.1, 0.25, 0.46, 1, 2.5, 5, 10, 30, 60, 300, 1_800];
const INTER_TOKEN_SECONDS_BOUNDS = [0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.25, 0.5, 1, 5];
const SLOWDOWN_BOUNDS = [1.1, 1.25, 1.5, 2, 3, 5, 10, 20, 50, 100];

const describeSeconds = (
  metric: string,
  help: string,
  bounds: readonly number[],
): MetricDescription => ({ metric, help, recordedUnitsPerUnit: MICROSECONDS_PER_S, bounds });

/** Name, help text, unit and buckets of the metric for each measurement. */
export const METRICS: Readonly<Record<MeasureName, MetricDescription>> = {
  firstToken: describeSeconds(
    'savorywind_first_token_seconds',
    'Time from arrival to the first token or byte of the answer.',
    SECONDS_BOUNDS,
  ),
  betweenTokens: describeSeconds(
    'savorywind_between_tokens_seconds',
    'Time between two tokens or parts of an answer.',
    INTER_TOKEN_SECONDS_BOUNDS,
  ),
  total: describeSeconds(
    'savorywind_total_seconds',
    'Time from arrival to the end of the answer.',
    SECONDS_BOUNDS,
  ),
  queueing: describeSeconds(
    'savorywind_queueing_seconds',
    'Time from arrival to the first attempt at an endpoint.',
    SECONDS_BOUNDS,
  ),
  slowdown: {
    metric: 'savorywind_slowdown_ratio',
    help: 'Total time over the estimated time on an idle engine.',
    recordedUnitsPerUnit: SLOWDOWN_UNITS,
    bounds: SLOWDOWN_BOUNDS,
  },
};

export const convertToMicroseconds = (ms: number): number => ms * 1_000;

export const convertToSlowdownUnits = (ratio: number): number => ratio * SLOWDOWN_UNITS;
