import type { Endpoint, RequestContract } from '@savorywind/model';
import { findLengthBand } from './length-bands.js';
import { convertToMicroseconds, convertToSlowdownUnits } from './metric-names.js';
import {
  recordOutcome,
  recordValue,
  type RequestMetrics,
  type Series,
  type SeriesLabels,
} from './request-metrics.js';

const MS_PER_S = 1_000;

const createLabels = (contract: RequestContract): SeriesLabels =>
  contract.kind === 'model'
    ? { team: contract.team, class: contract.model, band: findLengthBand(contract.promptTokens) }
    : { team: contract.team, class: contract.service, band: 'none' };

/** Estimates how long a request takes on an engine that does nothing else, in milliseconds. */
const estimateAloneMs = (
  contract: RequestContract,
  endpoint: Endpoint | undefined,
  outputTokens: number,
): number | undefined => {
  if (contract.kind !== 'model' || endpoint?.kind !== 'engine') return undefined;
  const prefillS = contract.promptTokens / endpoint.prefillTokensPerS;
  return (prefillS + outputTokens / endpoint.decodeTokensPerS) * MS_PER_S;
};

/** Measures one request from its arrival to its end. */
export class RequestMeasure {
  private readonly series: Series;

  private readonly arrivedAtMs = performance.now();

  private lastChunkAtMs: number | undefined;

  private chunks = 0;

  private endpoint: Endpoint | undefined;

  constructor(
    metrics: RequestMetrics,
    private readonly contract: RequestContract,
  ) {
    this.series = metrics.findSeries(createLabels(contract));
  }

  /** An attempt at an endpoint starts; the first one ends the time in the queue. */
  recordAttempt(endpoint: Endpoint): void {
    if (this.endpoint === undefined) this.recordTime('queueing', this.arrivedAtMs);
    this.endpoint = endpoint;
  }

  recordChunk(): void {
    const nowMs = performance.now();
    if (this.lastChunkAtMs === undefined) this.recordTime('firstToken', this.arrivedAtMs, nowMs);
    else this.recordTime('betweenTokens', this.lastChunkAtMs, nowMs);
    this.lastChunkAtMs = nowMs;
    this.chunks += 1;
  }

  recordFinish(): void {
    recordOutcome(this.series, 'finished');
    this.recordTime('total', this.arrivedAtMs);
    const aloneMs = estimateAloneMs(this.contract, this.endpoint, this.chunks);
    if (aloneMs === undefined || aloneMs <= 0) return;
    const ratio = (performance.now() - this.arrivedAtMs) / aloneMs;
    recordValue(this.series, 'slowdown', convertToSlowdownUnits(ratio));
  }

  recordRefusal(code: number): void {
    recordOutcome(this.series, String(code));
  }

  recordAbandoned(): void {
    recordOutcome(this.series, 'abandoned');
  }

  private recordTime(
    name: 'queueing' | 'firstToken' | 'betweenTokens' | 'total',
    fromMs: number,
    toMs = performance.now(),
  ): void {
    recordValue(this.series, name, convertToMicroseconds(toMs - fromMs));
  }
}
