import type { AnswerUsage } from '@savorywind/decisions';
import type { Endpoint, RequestContract } from '@savorywind/model';
import { findLengthBand } from './length-bands.js';
import { convertToMicroseconds, convertToSlowdownUnits } from './metric-names.js';
import {
  recordOutcome,
  recordPromptTokens,
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

/** Estimates how long a request takes on an idle engine, in milliseconds. */
const estimateUnloadedMs = (
  contract: RequestContract,
  endpoint: Endpoint | undefined,
  outputTokens: number,
): number | undefined => {
  if (contract.kind !== 'model' || endpoint?.kind !== 'engine') return undefined;
  const prefillS = contract.promptTokens / endpoint.prefillTokensPerS;
  return (prefillS + outputTokens / endpoint.decodeTokensPerS) * MS_PER_S;
};

/** Records the metrics of one request, from its arrival to its end. */
export class RequestMeasurement {
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

  /** Records that an attempt at an endpoint starts; the first attempt ends the queueing time. */
  recordAttempt(endpoint: Endpoint): void {
    if (this.endpoint === undefined) this.recordTime('queueing', this.arrivedAtMs);
    this.endpoint = endpoint;
  }

  /** Records a token or a part of the response. */
  recordChunk(): void {
    const nowMs = performance.now();
    if (this.lastChunkAtMs === undefined) this.recordTime('firstToken', this.arrivedAtMs, nowMs);
    else this.recordTime('betweenTokens', this.lastChunkAtMs, nowMs);
    this.lastChunkAtMs = nowMs;
    this.chunks += 1;
  }

  recordFinish(usage?: AnswerUsage): void {
    recordPromptTokens(this.series, usage?.promptTokens, usage?.cachedTokens);
    recordOutcome(this.series, 'finished');
    this.recordTime('total', this.arrivedAtMs);
    const unloadedMs = estimateUnloadedMs(this.contract, this.endpoint, this.chunks);
    if (unloadedMs === undefined || unloadedMs <= 0) return;
    const ratio = (performance.now() - this.arrivedAtMs) / unloadedMs;
    recordValue(this.series, 'slowdown', convertToSlowdownUnits(ratio));
  }

  /** @param code number of the result code with which the request was refused */
  recordRefusal(code: number): void {
    recordOutcome(this.series, String(code));
  }

  recordAbandonment(): void {
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
