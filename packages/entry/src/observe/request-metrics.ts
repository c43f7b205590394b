import { build, type JsHistogram } from 'hdr-histogram-js';
import type { TeamId } from '@savorywind/model';
import type { LengthBand } from './length-bands.js';
import type { MeasureName } from './metric-names.js';

/** Labels of a series; the property names are the label names. */
export interface SeriesLabels {
  readonly team: TeamId;
  /** The requested model, service or route. */
  readonly class: string;
  readonly band: LengthBand;
}

/** Metrics of all requests with the same labels. */
export interface Series {
  readonly labels: SeriesLabels;
  readonly histograms: Map<MeasureName, JsHistogram>;
  /** Number of requests by outcome, for example "finished", "abandoned" or a result code's number. */
  readonly outcomes: Map<string, number>;
  /** Prompt tokens of responses that say how many of them the engine had retained, and those. */
  readonly promptTokens: { total: number; cached: number };
}

/**
 * Maximum number of series. Requests that would need another one are counted in the last series, with
 * the labels `OVERFLOW_LABELS`.
 */
export const MAX_SERIES = 256;

const OVERFLOW_LABELS: SeriesLabels = { team: 'other', class: 'other', band: 'none' };

const SIGNIFICANT_DIGITS = 2;

/** Histograms and counters of requests. Their number is bounded, whatever labels callers cause. */
export class RequestMetrics {
  private readonly series = new Map<string, Series>();

  /** Number of requests refused before admission, by result code; bounded by the number of codes. */
  readonly rejections = new Map<number, number>();

  listSeries(): Series[] {
    return [...this.series.values()];
  }

  recordRejection(code: number): void {
    this.rejections.set(code, (this.rejections.get(code) ?? 0) + 1);
  }

  /** Finds or creates the series with these labels. */
  findSeries(labels: SeriesLabels): Series {
    const key = `${labels.team}\0${labels.class}\0${labels.band}`;
    const existing = this.series.get(key);
    if (existing !== undefined) return existing;
    if (this.series.size >= MAX_SERIES - 1 && labels !== OVERFLOW_LABELS)
      return this.findSeries(OVERFLOW_LABELS);
    const created: Series = {
      labels,
      histograms: new Map(),
      outcomes: new Map(),
      promptTokens: { total: 0, cached: 0 },
    };
    this.series.set(key, created);
    return created;
  }
}

const createHistogram = (): JsHistogram =>
  build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  }) as JsHistogram;

/** Records one value, in the finer unit of `MetricDescription.recordedUnitsPerUnit`. */
export const recordValue = (series: Series, name: MeasureName, value: number): void => {
  let histogram = series.histograms.get(name);
  if (histogram === undefined) {
    histogram = createHistogram();
    series.histograms.set(name, histogram);
  }
  histogram.recordValue(Math.max(1, Math.round(value)));
};

/** Counts the prompt tokens of a response; nothing if the engine does not say what it retained. */
export const recordPromptTokens = (
  { promptTokens }: Series,
  totalTokens: number | undefined,
  cachedTokens: number | undefined,
): void => {
  if (totalTokens === undefined || cachedTokens === undefined) return;
  if (!(totalTokens >= 0 && cachedTokens >= 0)) return;
  promptTokens.total += totalTokens;
  promptTokens.cached += Math.min(cachedTokens, totalTokens);
};

export const recordOutcome = (series: Series, outcome: string): void => {
  series.outcomes.set(outcome, (series.outcomes.get(outcome) ?? 0) + 1);
};
