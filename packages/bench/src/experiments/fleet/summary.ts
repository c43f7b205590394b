import { EngineSimulator } from '@savorywind/stand-ins';
import type { ModelContract } from '@savorywind/model';
import type { Deployment } from '../workload/types.js';
import { estimateWorkMs, LONG_PROMPT_TOKENS, SATURATION_FACTOR } from '../workload/workload.js';
import type { FleetReport, FleetSettings, RequestResult } from './types.js';

const MS_PER_S = 1_000;

const TOKENS_PER_MILLION = 1_000_000;

/** Prompts with fewer tokens are short. */
export const SHORT_PROMPT_TOKENS = 10_000;

/** Figures of one run. Times are in seconds unless the name has a unit; ratios are from 0 to 1. */
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
  /** Median latency of finished long requests (reviews). */
  readonly longLatencyP50: number;
  /** Fraction of the admitted long requests that finished in time. */
  readonly longFinished: number;
  /** Fraction of the long requests that were refused. */
  readonly longRefused: number;
  /** Fraction of the requests that were refused before they ran. */
  readonly refused: number;
  /** Fraction of the refusals that were sent within 100 ms and with a retry delay. */
  readonly refusedAtOnce: number;
  /** Fraction of the requests that timed out. */
  readonly late: number;
  /** Fraction of the requests that failed after they may have run, other than by timeout. */
  readonly failed: number;
  /** Work finished in time during the run, divided by the capacity of the engines. */
  readonly goodput: number;
  /** Percentiles of the time to handle an arriving request, mean over the entry VMs. */
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  /** Processor use as a fraction of one core, mean over the entry VMs. */
  readonly coreFraction: number;
  /** Mean over the entry VMs. */
  readonly linkBytesPerS: number;
  /** Mean over the entry VMs. */
  readonly engineCallsPerS: number;
}

/** Longest time to a refusal that counts as immediate. */
const MAX_IMMEDIATE_REFUSAL_MS = 100;

const findPercentile = (sorted: readonly number[], percentile: number): number => {
  if (sorted.length === 0) return NaN;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? NaN;
};

const sortNumbers = (values: readonly number[]): number[] => [...values].sort((a, b) => a - b);

const findMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const readContract = ({ planned }: RequestResult): ModelContract =>
  planned.contract as ModelContract;

/** Estimates the latency of a request on an otherwise idle engine. */
const estimateUnloadedMs = (
  simulator: EngineSimulator,
  { engine }: Deployment,
  result: RequestResult,
): number => {
  const { promptTokens } = readContract(result);
  const millionTokens = promptTokens / TOKENS_PER_MILLION;
  const stepMs =
    MS_PER_S / engine.decodeTokensPerS + millionTokens * (engine.stepPerMillionTokensMs ?? 0);
  return simulator.estimatePrefillMs(promptTokens) + (result.planned.outputTokens - 1) * stepMs;
};

const isFinished = ({ endMs, refused }: RequestResult): boolean =>
  endMs !== undefined && refused === undefined;

/** Sorted times to first token, in seconds. */
const listFirstTokens = (results: readonly RequestResult[]): number[] =>
  sortNumbers(
    results.flatMap(({ firstTokenMs, planned }) =>
      firstTokenMs === undefined ? [] : [(firstTokenMs - planned.arrivalMs) / MS_PER_S],
    ),
  );

/** Percentiles 50, 95 and 99 of the time to first token, in seconds. */
const measureFirstTokens = (results: readonly RequestResult[]) => {
  const times = listFirstTokens(results);
  return [0.5, 0.95, 0.99].map((percentile) => findPercentile(times, percentile));
};

/** Computes the figures of a run. Latency counts from the planned arrival. */
export const measureRun = (settings: FleetSettings, report: FleetReport): RunSummary => {
  const { deployment, durationMs } = settings.workload;
  const simulator = new EngineSimulator(deployment.engine);
  const calls = report.results.filter(({ planned }) => planned.contract.kind === 'model');
  const shortCalls = calls.filter(
    (result) => readContract(result).promptTokens < SHORT_PROMPT_TOKENS,
  );
  const longCalls = calls.filter(
    (result) => readContract(result).promptTokens > LONG_PROMPT_TOKENS,
  );
  const middleCalls = calls.filter((result) => {
    const { promptTokens } = readContract(result);
    return promptTokens >= SHORT_PROMPT_TOKENS && promptTokens <= LONG_PROMPT_TOKENS;
  });
  const slowdowns = sortNumbers(
    shortCalls
      .filter(isFinished)
      .map(
        (result) =>
          ((result.endMs ?? 0) - result.planned.arrivalMs) /
          estimateUnloadedMs(simulator, deployment, result),
      ),
  );
  const refused = calls.filter(
    (result) => result.refused !== undefined && !result.failedAfterAdmission,
  );
  const refusedAtOnce = refused.filter(
    ({ endMs, planned, retryAfterMs }) =>
      (endMs ?? 0) - planned.arrivalMs <= MAX_IMMEDIATE_REFUSAL_MS && retryAfterMs !== undefined,
  );
  const late = calls.filter((result) => result.refused === 'timeout');
  const failed = calls.filter(
    (result) => result.failedAfterAdmission && result.refused !== 'timeout',
  );
  const startMs = Math.min(...report.results.slice(0, 1).map(({ planned }) => planned.arrivalMs));
  const finishedWorkMs = calls
    .filter((result) => isFinished(result) && (result.endMs ?? 0) <= startMs + durationMs)
    .reduce((sum, result) => {
      const { promptTokens } = readContract(result);
      return sum + estimateWorkMs(simulator, deployment, promptTokens, result.planned.outputTokens);
    }, 0);
  const longAdmitted = longCalls.filter(
    (result) => isFinished(result) || result.failedAfterAdmission,
  );
  const longLatencies = sortNumbers(
    longCalls
      .filter(isFinished)
      .map(({ endMs, planned }) => ((endMs ?? 0) - planned.arrivalMs) / MS_PER_S),
  );
  const [firstTokenShortP50 = NaN, firstTokenShortP95 = NaN, firstTokenShortP99 = NaN] =
    measureFirstTokens(shortCalls);
  const [firstTokenMiddleP50 = NaN, firstTokenMiddleP95 = NaN, firstTokenMiddleP99 = NaN] =
    measureFirstTokens(middleCalls);
  const [firstTokenLongP50 = NaN, firstTokenLongP95 = NaN, firstTokenLongP99 = NaN] =
    measureFirstTokens(longCalls);
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
    longRefused: 1 - longAdmitted.length / Math.max(1, longCalls.length),
    refused: refused.length / calls.length,
    refusedAtOnce: refusedAtOnce.length / Math.max(1, refused.length),
    late: late.length / calls.length,
    failed: failed.length / calls.length,
    goodput: finishedWorkMs / durationMs / deployment.engines / SATURATION_FACTOR,
    decisionP50Us: findMean(report.nodes.map((node) => node.decisionP50Us)),
    decisionP99Us: findMean(report.nodes.map((node) => node.decisionP99Us)),
    coreFraction: findMean(report.nodes.map((node) => node.coreFraction)),
    linkBytesPerS: findMean(report.nodes.map((node) => node.linkBytesPerS)),
    engineCallsPerS: findMean(report.nodes.map((node) => node.engineCallsPerS)),
  };
};
