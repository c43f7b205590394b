import { build, type JsHistogram } from 'hdr-histogram-js';
import type { TeamId } from '@savorywind/model';
import type { LengthBand } from './length-bands.js';
import type { MeasureName } from './metric-names.js';

/** Who a series is about. */
export interface SeriesLabels {
  readonly team: TeamId;
  /** The model or service that the request is for. */
  readonly class: string;
  readonly band: LengthBand;
}

export interface Series {
  readonly labels: SeriesLabels;
  readonly histograms: Map<MeasureName, JsHistogram>;
  /** Requests by outcome: "finished", "abandoned", or the number of a result code. */
  readonly outcomes: Map<string, number>;
}

/** Series kept; requests beyond are counted under the labels of the last one. */
export const MAX_SERIES = 256;

const OVERFLOW: SeriesLabels = { team: 'other', class: 'other', band: 'none' };

const SIGNIFICANT_DIGITS = 2;

/** Histograms and counters of requests, bounded in number whatever callers send. */
export class RequestMetrics {
  private readonly series = new Map<string, Series>();

  /** Requests refused before they were admitted, by result code; bounded by the catalogue. */
  readonly rejections = new Map<number, number>();

  listSeries(): Series[] {
    return [...this.series.values()];
  }

  recordRejection(code: number): void {
    this.rejections.set(code, (this.rejections.get(code) ?? 0) + 1);
  }

  findSeries(labels: SeriesLabels): Series {
    const key = `${labels.team}\0${labels.class}\0${labels.band}`;
    const known = this.series.get(key);
    if (known !== undefined) return known;
    if (this.series.size >= MAX_SERIES - 1 && labels !== OVERFLOW) return this.findSeries(OVERFLOW);
    const created = { labels, histograms: new Map(), outcomes: new Map() };
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

/** Records one value in the units of its metric. */
export const recordValue = (series: Series, name: MeasureName, value: number): void => {
  let histogram = series.histograms.get(name);
  if (histogram === undefined) {
    histogram = createHistogram();
    series.histograms.set(name, histogram);
  }
  histogram.recordValue(Math.max(1, Math.round(value)));
};

export const recordOutcome = (series: Series, outcome: string): void => {
  series.outcomes.set(outcome, (series.outcomes.get(outcome) ?? 0) + 1);
};
