import { DEFAULT_ROUTER, type RouterName } from '@savorywind/decisions';
import { PREFIX_BLOCK_TOKENS, type ModelDeclaration } from '@savorywind/model';
import type { RequestResult } from './fleet/types.js';
import { formatMeanWithRange } from './format-numbers.js';
import { runFleet, type FleetRun } from './run-fleet.js';
import { deployments, type DeploymentName } from './workload/deployments.js';
import {
  parseRequestKind,
  SessionWorkload,
  type SessionPath,
  type SessionRequestKind,
} from './workload/session-workload.js';
import type { ExperimentOptions, RunExperiment, TableRow } from './types.js';
import type { Deployment } from './workload/types.js';

const MS_PER_S = 1_000;

const MS_PER_MINUTE = 60_000;

/** One-way network delay between entry VMs, and between them and endpoints. */
const LINK_DELAY_MS = 1;

const RETENTION = { maxAgeMs: 600_000 };

/** Arrivals per second and engine. */
const RATES = { sessionsPerS: 0.25, hotPerS: 1, singlesPerS: 2 };

interface Variant {
  readonly label: string;
  readonly router: RouterName;
  readonly prefixRetention?: ModelDeclaration['prefixRetention'];
}

const VARIANTS: readonly Variant[] = [
  { label: 'no affinity', router: 'homeNoAffinity' },
  { label: 'off (hash)', router: DEFAULT_ROUTER },
  { label: 'on', router: DEFAULT_ROUTER, prefixRetention: RETENTION },
];

interface Case {
  readonly label: string;
  readonly path: SessionPath;
  /** KV cache of each engine, in tokens. */
  readonly memoryTokens: number;
  /** Rates relative to `RATES`. */
  readonly rate: number;
}

const CASES: readonly Case[] = [
  { label: 'same VM', path: 'sameVm', memoryTokens: 400_000, rate: 1 },
  { label: 'any VM of the domain', path: 'sameDomain', memoryTokens: 400_000, rate: 1 },
  { label: 'same VM, 150 k memory', path: 'sameVm', memoryTokens: 150_000, rate: 1 },
  { label: 'same VM, half the rate', path: 'sameVm', memoryTokens: 400_000, rate: 0.5 },
];

interface RequestClass {
  readonly title: string;
  readonly kind: SessionRequestKind;
  readonly minTokens: number;
  readonly maxTokens: number;
}

const CLASSES: readonly RequestClass[] = [
  { title: 'single 1–4k', kind: 'single', minTokens: 0, maxTokens: Infinity },
  { title: 'hot 17k', kind: 'hot', minTokens: 0, maxTokens: Infinity },
  { title: 'first of session', kind: 'first', minTokens: 0, maxTokens: Infinity },
  { title: 'next <10k', kind: 'next', minTokens: 0, maxTokens: 10_000 },
  { title: 'next 10k–32k', kind: 'next', minTokens: 10_000, maxTokens: 32_768 },
  { title: 'next >32k', kind: 'next', minTokens: 32_768, maxTokens: Infinity },
];

const findPercentile = (values: readonly number[], percentile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? NaN;
};

const readPromptTokens = ({ planned }: RequestResult): number =>
  planned.contract.kind === 'model' ? planned.contract.promptTokens : 0;

const matchesClass = (result: RequestResult, { kind, minTokens, maxTokens }: RequestClass) => {
  const promptTokens = readPromptTokens(result);
  const isLengthInside = promptTokens >= minTokens && promptTokens < maxTokens;
  return parseRequestKind(result.planned.contract.requestId) === kind && isLengthInside;
};

/** Times to first token of a class of requests, in milliseconds. */
export const listFirstTokensMs = (
  results: readonly RequestResult[],
  requestClass: RequestClass,
): number[] =>
  results
    .filter((result) => matchesClass(result, requestClass))
    .flatMap(({ firstTokenMs, planned }) =>
      firstTokenMs === undefined ? [] : [firstTokenMs - planned.arrivalMs],
    );

/** Largest fraction of the requests with the hot beginning that one engine got. */
export const measureLargestHotFraction = (results: readonly RequestResult[]): number => {
  const counts = new Map<string | undefined, number>();
  const hot = results.filter(
    ({ planned }) => parseRequestKind(planned.contract.requestId) === 'hot',
  );
  hot.forEach(({ endpoint }) => counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1));
  return Math.max(0, ...counts.values()) / Math.max(1, hot.length);
};

const sumCachedFraction = (results: readonly RequestResult[]): number => {
  const finished = results.filter(({ cachedTokens }) => cachedTokens !== undefined);
  const cached = finished.reduce((sum, { cachedTokens = 0 }) => sum + cachedTokens, 0);
  return cached / finished.reduce((sum, result) => sum + readPromptTokens(result), 0);
};

const createDeployment = (name: string, memoryTokens: number): Deployment => {
  const deployment = deployments[name as DeploymentName];
  const engine = { ...deployment.engine, memoryTokens, prefixBlockTokens: PREFIX_BLOCK_TOKENS };
  return { ...deployment, engine };
};

/** Runs sessions on a simulated fleet, once for each seed. */
export const runSessions = (
  options: Pick<ExperimentOptions, 'seed' | 'seeds' | 'minutes' | 'deployment'>,
  { path, memoryTokens, rate }: Omit<Case, 'label'>,
  { router, prefixRetention }: Omit<Variant, 'label'>,
): FleetRun[] => {
  const deployment = createDeployment(options.deployment, memoryTokens);
  const durationMs = options.minutes * MS_PER_MINUTE;
  const scale = rate * deployment.engines;
  return Array.from({ length: options.seeds }, (_, index) => {
    const seed = options.seed + index;
    const requests = new SessionWorkload({
      deployment,
      durationMs,
      seed,
      path,
      sessionsPerS: RATES.sessionsPerS * scale,
      hotPerS: RATES.hotPerS * scale,
      singlesPerS: RATES.singlesPerS * scale,
    }).listRequests();
    return runFleet({
      workload: { deployment, load: 1, durationMs, seed, maxPromptTokens: memoryTokens },
      requests,
      router,
      slowdownWeight: 0.5,
      linkDelayMs: LINK_DELAY_MS,
      faults: [],
      ...(prefixRetention === undefined ? {} : { prefixRetention }),
    });
  });
};

const describeSessions = (label: string, runs: readonly FleetRun[]): TableRow => {
  const format = (measure: (run: FleetRun) => number) => formatMeanWithRange(runs.map(measure));
  const firstTokens = CLASSES.flatMap((requestClass) =>
    [0.5, 0.95].map((percentile) => [
      `${requestClass.title} p${percentile * 100}`,
      format(
        ({ report }) =>
          findPercentile(listFirstTokensMs(report.results, requestClass), percentile) / MS_PER_S,
      ),
    ]),
  );
  return {
    label,
    cells: {
      ...(Object.fromEntries(firstTokens) as Record<string, string>),
      'retained tokens': format(({ report }) => sumCachedFraction(report.results)),
      'evicted blocks': format(({ report }) => report.evictedBlocks),
      'largest part of hot': format(({ report }) => measureLargestHotFraction(report.results)),
      refused: format(({ summary }) => summary.refused),
      requests: format(({ summary }) => summary.requests),
      'link B/s a node': format(({ summary }) => summary.linkBytesPerS),
      'decision p50 µs': format(({ summary }) => summary.decisionP50Us),
      'decision p99 µs': format(({ summary }) => summary.decisionP99Us),
    },
  };
};

/**
 * Measures what it changes for callers that the router weighs retained prefixes: sessions of
 * repeated beginnings, a beginning that many requests share, and single short requests.
 */
export const runKeptPrefixes: RunExperiment = (options) => {
  const rows: TableRow[] = [];
  CASES.forEach((testCase) =>
    VARIANTS.forEach((variant) => {
      const label = `${testCase.label}, ${variant.label}`;
      rows.push(describeSessions(label, runSessions(options, testCase, variant)));
      options.onProgress(label);
    }),
  );
  return { rows, plots: [] };
};
