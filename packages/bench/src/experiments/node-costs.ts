import { EntryNode, type NodeEffect } from '@savorywind/decisions';
import {
  CONFIGURATION_HEAD_KEY,
  Ok,
  buildDifference,
  parseConfiguration,
  tables,
  type Configuration,
  type ModelContract,
} from '@savorywind/model';
import { Packr } from 'msgpackr';
import { createFleetConfiguration, listEntryVms } from './fleet/fleet-configuration.js';
import { formatNumber } from './format-numbers.js';
import type { RunExperiment, TableRow } from './types.js';
import { deployments } from './workload/deployments.js';
import type { Deployment } from './workload/types.js';

const NS_PER_US = 1_000;
const NS_PER_MS = 1_000_000;

/** Repetitions over which the time of one operation is averaged. */
const ROUNDS = 20;

/** Tokens streamed by the request with which the cost per token is measured. */
const TOKENS = 200_000;

const FLEETS = [
  { engines: 15, teams: 10 },
  { engines: 100, teams: 49 },
  { engines: 400, teams: 490 },
  { engines: 1_500, teams: 490 },
];

const createDeployment = (engines: number, teams: number): Deployment => ({
  ...deployments.stuhlwerk,
  engines,
  failureDomains: 14,
  teamRates: Array.from({ length: teams }, () => 1),
});

const CONTRACT: ModelContract = {
  kind: 'model',
  requestId: 'request-1',
  team: 'team-0',
  timeoutMs: 600_000,
  digest: 'digest',
  model: 'assistant',
  promptTokens: 1_000,
  maxOutputTokens: TOKENS,
  prefixDigests: [],
};

/** Creates a node and gives it the configuration as the reply to its first store reads. */
const startNode = (configuration: Configuration): EntryNode => {
  const [vm] = listEntryVms(deployments.stuhlwerk);
  if (vm === undefined) throw new Error('no entry VM');
  const node = new EntryNode({ vm, seed: 1 });
  const head = { version: 1, changeId: 'c1', author: 'bench', committedAtMs: 0, configuration };
  const row = {
    table: tables.configuration,
    key: CONFIGURATION_HEAD_KEY,
    value: head,
    revision: 1,
  };
  node.handle({ kind: 'started' }, 0).forEach((effect) => {
    if (effect.kind !== 'platform.call' || effect.call.kind !== 'tables') return;
    const reply = Ok({ kind: 'tables', outcomes: [{ kind: 'row', row }] } as const);
    node.handle({ kind: 'platform.replied', callId: effect.callId, reply }, 1);
  });
  return node;
};

const isAttemptStart = (
  effect: NodeEffect,
): effect is Extract<NodeEffect, { readonly kind: 'attempt.start' }> =>
  effect.kind === 'attempt.start';

/** Measures the state machine's processing time per streamed token, in microseconds. */
const measureTokenUs = (configuration: Configuration): number => {
  const node = startNode(configuration);
  const effects = node.handle({ kind: 'request.arrived', contract: CONTRACT }, 2);
  const start = effects.find(isAttemptStart);
  if (start === undefined) return NaN;
  const { attemptId } = start;
  node.handle({ kind: 'attempt.headReceived', attemptId, head: undefined }, 3);
  const startNs = process.hrtime.bigint();
  for (let offset = 0; offset < TOKENS; offset += 1) {
    const chunk = { kind: 'attempt.chunkReceived', attemptId, offset, count: 1 } as const;
    node.handle({ ...chunk, data: 'word ' }, 4);
  }
  return Number(process.hrtime.bigint() - startNs) / TOKENS / NS_PER_US;
};

/** Encodes a value as MessagePack, as links do. */
const packForLink = (value: unknown): Buffer => new Packr({ sequential: true }).pack(value);

/** Changes the batch limit of one engine: the smallest change to the largest section. */
const changeEngine = (configuration: Configuration): Configuration => ({
  ...configuration,
  endpoints: configuration.endpoints.map((endpoint, index) =>
    index === 0 && endpoint.kind === 'engine'
      ? { ...endpoint, batchLimit: endpoint.batchLimit + 1 }
      : endpoint,
  ),
});

/** Returns the mean duration of a function in milliseconds. */
const measureMeanMs = (run: () => unknown): number => {
  const startNs = process.hrtime.bigint();
  for (let round = 0; round < ROUNDS; round += 1) run();
  return Number(process.hrtime.bigint() - startNs) / ROUNDS / NS_PER_MS;
};

/** Measures the encoded size and the processing time of a change to one endpoint. */
const measureChange = (before: Configuration): Record<string, string> => {
  const after = changeEngine(before);
  const difference = buildDifference(before, after);
  return {
    'difference of one engine, bytes': formatNumber(packForLink(difference).length),
    'worked out in, ms': formatNumber(measureMeanMs(() => buildDifference(before, after))),
    'checked in, ms': formatNumber(measureMeanMs(() => parseConfiguration(after))),
  };
};

/** Measures the size of the configuration and the time per token for several fleet sizes. */
export const runNodeCosts: RunExperiment = () => {
  const rows = FLEETS.map(({ engines, teams }): TableRow => {
    const configuration = createFleetConfiguration(createDeployment(engines, teams), 1);
    const packed = packForLink(configuration);
    const cells = {
      'configuration, JSON bytes': formatNumber(JSON.stringify(configuration).length),
      'packed for a link, bytes': formatNumber(packed.length),
      ...measureChange(configuration),
      'decisions for a token, µs': formatNumber(measureTokenUs(configuration)),
    };
    return { label: `${engines} engines, ${teams} teams`, cells };
  });
  return { rows, plots: [] };
};
