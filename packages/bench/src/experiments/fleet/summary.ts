import { EngineModel } from '@savorywind/stand-ins';
import type { ModelContract } from '@savorywind/model';
import type { Deployment } from '../workload/types.js';
import { estimateWorkMs, LONG_PROMPT_TOKENS, SATURATION_FACTOR } from '../workload/workload.js';
import type { FleetReport, FleetSettings, RequestResult } from './types.js';

const MS_PER_S = 1_000;

const TOKENS_PER_MILLION = 1_000_000;

/** Prompts below are short. */
export const SHORT_PROMPT_TOKENS = 10_000;

/** Figures of one run. Times in seconds, shares from 0 to 1. */
export interface RunSummary {
  readonly requests: number;
  readonly firstTokenShortP50: number;
  readonly firstTokenShortP95: number;
  readonly firstTokenShortP99: number;
  readonly firstTokenMiddleP50: number;
  readonly firstTokenMiddleP95: number;
  readonly firstTokenMiddleP99: number;
  readonly firstTokenLongP50: number;
  readonly firstTokenLongP95: number;
  readonly firstTokenLongP99: number;
  readonly slowdownShortP50: number;
  readonly slowdownShortP95: number;
  readonly slowdownShortP99: number;
  /** Latency of reviews at the median. */
  readonly longLatencyP50: number;
  /** Reviews that finished in time, of those that were admitted. */
  readonly longFinished: number;
  readonly longRefused: number;
  readonly refused: number;
  /** Refusals that came within 100 ms and say when to come back. */
  readonly refusedAtOnce: number;
  /** Requests that were admitted and got no whole answer in their time. */
  readonly late: number;
  readonly failed: number;
  /** Work finished in time within the run, over what the engines can do. */
  readonly goodput: number;
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly coreShare: number;
  readonly linkBytesPerS: number;
  readonly engineCallsPerS: number;
}

const AT_ONCE_MS = 100;

const findPercentile = (sorted: readonly number[], percentile: number): number => {
  if (sorted.length === 0) return NaN;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? NaN;
};

const sortNumbers = (values: readonly number[]): number[] => [...values].sort((a, b) => a - b);

const findMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const readContract = ({ planned }: RequestResult): ModelContract =>
  planned.contract as ModelContract;

/** Latency of a request that has an idle engine for itself. */
const measureAloneMs = (
  model: EngineModel,
  { engine }: Deployment,
  result: RequestResult,
): number => {
  const { promptTokens } = readContract(result);
  const context = promptTokens / TOKENS_PER_MILLION;
  const stepMs =
    MS_PER_S / engine.decodeTokensPerS + context * (engine.stepPerMillionTokensMs ?? 0);
  return model.measurePrefillMs(promptTokens) + (result.planned.outputTokens - 1) * stepMs;
};

const isFinished = ({ endMs, refused }: RequestResult): boolean =>
  endMs !== undefined && refused === undefined;

const listFirstTokens = (results: readonly RequestResult[]): number[] =>
  sortNumbers(
    results.flatMap(({ firstTokenMs, planned }) =>
      firstTokenMs === undefined ? [] : [(firstTokenMs - planned.atMs) / MS_PER_S],
    ),
  );

const measureFirstTokens = (results: readonly RequestResult[]) => {
  const times = listFirstTokens(results);
  return [0.5, 0.95, 0.99].map((percentile) => findPercentile(times, percentile));
};

/** Works out the figures of a run. Latency counts from the planned arrival. */
export const measureRun = (settings: FleetSettings, report: FleetReport): RunSummary => {
  const { deployment, durationMs } = settings.workload;
  const model = new EngineModel(deployment.engine);
  const calls = report.results.filter(({ planned }) => planned.contract.kind === 'model');
  const short = calls.filter((result) => readContract(result).promptTokens < SHORT_PROMPT_TOKENS);
  const long = calls.filter((result) => readContract(result).promptTokens > LONG_PROMPT_TOKENS);
  const middle = calls.filter((result) => {
    const { promptTokens } = readContract(result);
    return promptTokens >= SHORT_PROMPT_TOKENS && promptTokens <= LONG_PROMPT_TOKENS;
  });
  const slowdowns = sortNumbers(
    short
      .filter(isFinished)
      .map(
        (result) =>
          ((result.endMs ?? 0) - result.planned.atMs) / measureAloneMs(model, deployment, result),
      ),
  );
  const refused = calls.filter((result) => result.refused !== undefined && !result.late);
  const atOnce = refused.filter(
    ({ endMs, planned, retryAfterMs }) =>
      (endMs ?? 0) - planned.atMs <= AT_ONCE_MS && retryAfterMs !== undefined,
  );
  const late = calls.filter((result) => result.refused === 'timeout');
  const failed = calls.filter((result) => result.late && result.refused !== 'timeout');
  const startMs = Math.min(...report.results.slice(0, 1).map(({ planned }) => planned.atMs));
  const finishedWorkMs = calls
    .filter((result) => isFinished(result) && (result.endMs ?? 0) <= startMs + durationMs)
    .reduce((sum, result) => {
      const { promptTokens } = readContract(result);
      return sum + estimateWorkMs(model, deployment, promptTokens, result.planned.outputTokens);
    }, 0);
  const longAdmitted = long.filter((result) => isFinished(result) || result.late);
  const longLatencies = sortNumbers(
    long.filter(isFinished).map(({ endMs, planned }) => ((endMs ?? 0) - planned.atMs) / MS_PER_S),
  );
  const [firstTokenShortP50 = NaN, firstTokenShortP95 = NaN, firstTokenShortP99 = NaN] =
    measureFirstTokens(short);
  const [firstTokenMiddleP50 = NaN, firstTokenMiddleP95 = NaN, firstTokenMiddleP99 = NaN] =
    measureFirstTokens(middle);
  const [firstTokenLongP50 = NaN, firstTokenLongP95 = NaN, firstTokenLongP99 = NaN] =
    measureFirstTokens(long);
  return {
    requests: calls.length,
    firstTokenShortP50,
    firstTokenShortP95,
    firstTokenShortP99,
    firstTokenMiddleP50,
    firstTokenMiddleP95,
    firstTokenMiddleP99,
    firstTokenLongP50,
    firstTokenLongP95,
    firstTokenLongP99,
    slowdownShortP50: findPercentile(slowdowns, 0.5),
    slowdownShortP95: findPercentile(slowdowns, 0.95),
    slowdownShortP99: findPercentile(slowdowns, 0.99),
    longLatencyP50: findPercentile(longLatencies, 0.5),
    longFinished: longAdmitted.filter(isFinished).length / Math.max(1, longAdmitted.length),
    longRefused: 1 - longAdmitted.length / Math.max(1, long.length),
    refused: refused.length / calls.length,
    refusedAtOnce: atOnce.length / Math.max(1, refused.length),
    late: late.length / calls.length,
    failed: failed.length / calls.length,
    goodput: finishedWorkMs / durationMs / deployment.engines / SATURATION_FACTOR,
    decisionP50Us: findMean(report.nodes.map((node) => node.decisionP50Us)),
    decisionP99Us: findMean(report.nodes.map((node) => node.decisionP99Us)),
    coreShare: findMean(report.nodes.map((node) => node.coreShare)),
    linkBytesPerS: findMean(report.nodes.map((node) => node.linkBytesPerS)),
    engineCallsPerS: findMean(report.nodes.map((node) => node.engineCallsPerS)),
  };
};
