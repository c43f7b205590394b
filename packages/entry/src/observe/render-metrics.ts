import type { JsHistogram } from 'hdr-histogram-js';
import { METRICS, type MeasureName } from './metric-names.js';
import type { RequestMetrics, Series, SeriesLabels } from './request-metrics.js';

/** One value of a metric that has labels. */
export interface LabelledValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A value of the process, or values with labels. */
export interface Gauge {
  readonly metric: string;
  readonly help: string;
  readonly value: number | readonly LabelledValue[];
  /** `counter` if the value never decreases while the process runs; `gauge` if not given. */
  readonly type?: 'gauge' | 'counter';
}

const formatLabelValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

const formatLabels = (labels: SeriesLabels | LabelledValue['labels'], extra = ''): string => {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}="${formatLabelValue(value)}"`,
  );
  return `{${[...pairs, ...(extra === '' ? [] : [extra])].join(',')}}`;
};

/**
 * Counts the recorded values up to each bound. A value within 1% of a bound may be counted on either
 * side, because the histogram keeps two significant digits.
 */
const countBelowBounds = (histogram: JsHistogram, bounds: readonly number[]): number[] => {
  const counts = bounds.map(() => 0);
  const iterator = histogram.recordedValuesIterator;
  iterator.reset();
  while (iterator.hasNext()) {
    const { valueIteratedTo, countAddedInThisIterationStep } = iterator.next();
    bounds.forEach((bound, index) => {
      if (valueIteratedTo <= bound) {
        counts[index] = (counts[index] ?? 0) + countAddedInThisIterationStep;
      }
    });
  }
  return counts;
};

const formatHistogram = (name: MeasureName, { labels, histograms }: Series): string[] => {
  const histogram = histograms.get(name);
  if (histogram === undefined) return [];
  const { metric, recordedUnitsPerUnit, bounds } = METRICS[name];
  const counts = countBelowBounds(
    histogram,
    bounds.map((bound) => bound * recordedUnitsPerUnit),
  );
  const total = histogram.totalCount;
  const sum = (histogram.mean * total) / recordedUnitsPerUnit;
  return [
    ...bounds.map(
      (bound, index) => `${metric}_bucket${formatLabels(labels, `le="${bound}"`)} ${counts[index]}`,
    ),
    `${metric}_bucket${formatLabels(labels, 'le="+Inf"')} ${total}`,
    `${metric}_sum${formatLabels(labels)} ${sum}`,
    `${metric}_count${formatLabels(labels)} ${total}`,
  ];
};

const formatHead = (metric: string, help: string, type: string): string[] => [
  `# HELP ${metric} ${help}`,
  `# TYPE ${metric} ${type}`,
];

const formatValues = (metric: string, value: Gauge['value']): string[] =>
  typeof value === 'number'
    ? [`${metric} ${value}`]
    : value.map((item) => `${metric}${formatLabels(item.labels)} ${item.value}`);

const formatOutcomes = (series: readonly Series[]): string[] => {
  const metric = 'savorywind_requests_total';
  const help = 'Requests by outcome: finished, abandoned by the caller, or a result code.';
  const lines = series.flatMap(({ labels, outcomes }) =>
    [...outcomes].map(
      ([outcome, count]) => `${metric}${formatLabels(labels, `outcome="${outcome}"`)} ${count}`,
    ),
  );
  return [...formatHead(metric, help, 'counter'), ...lines];
};

const formatRejections = (rejections: ReadonlyMap<number, number>): string[] => {
  const metric = 'savorywind_rejections_total';
  const help = 'Requests refused before they were admitted, by result code.';
  const lines = [...rejections].map(([code, count]) => `${metric}{code="${code}"} ${count}`);
  return [...formatHead(metric, help, 'counter'), ...lines];
};

const formatPromptTokens = (series: readonly Series[]): string[] => {
  const known = series.filter(({ promptTokens }) => promptTokens.total > 0);
  if (known.length === 0) return [];
  const [metric, cachedMetric] = [
    'savorywind_prompt_tokens_total',
    'savorywind_cached_prompt_tokens_total',
  ];
  return [
    ...formatHead(metric, 'Prompt tokens of responses with a count of cached ones.', 'counter'),
    ...known.map(
      ({ labels, promptTokens }) => `${metric}${formatLabels(labels)} ${promptTokens.total}`,
    ),
    ...formatHead(cachedMetric, 'Of these, tokens that the engine had retained.', 'counter'),
    ...known.map(
      ({ labels, promptTokens }) => `${cachedMetric}${formatLabels(labels)} ${promptTokens.cached}`,
    ),
  ];
};

/**
 * Renders all metrics in the Prometheus text format.
 *
 * @example
 * renderMetricsText(metrics, [{ metric: 'savorywind_requests_in_flight', help: '...', value: 3 }]);
 */
export const renderMetricsText = (metrics: RequestMetrics, gauges: readonly Gauge[]): string => {
  const series = metrics.listSeries();
  const names = Object.keys(METRICS) as MeasureName[];
  const histograms = names.flatMap((name) => [
    ...formatHead(METRICS[name].metric, METRICS[name].help, 'histogram'),
    ...series.flatMap((item) => formatHistogram(name, item)),
  ]);
  const gaugeLines = gauges.flatMap(({ metric, help, value, type }) => [
    ...formatHead(metric, help, type ?? 'gauge'),
    ...formatValues(metric, value),
  ]);
  const counters = [
    ...formatOutcomes(series),
    ...formatPromptTokens(series),
    ...formatRejections(metrics.rejections),
  ];
  return `${[...histograms, ...counters, ...gaugeLines].join('\n')}\n`;
};
