import type { Deployment } from './types.js';

const MS_PER_S = 1_000;

const ENGINE = {
  memoryTokens: 400_000,
  prefillTokensPerS: 30_000,
  decodeTokensPerS: 100,
  stepPerSequenceMs: 0.1,
  stepPerMillionTokensMs: 10,
  prefillChunkTokens: 256,
  attentionTokens: 400_000,
  batchLimit: 128,
  priorities: 'honoured',
  prefixBlockTokens: 512,
  loadLagMs: 500,
  cacheEventDelayMs: 500,
  cacheEventLoss: 0.01,
  transferTokensPerS: 500_000,
  pace: 'milestones',
} as const;

const TEN_TEAM_RATES = [30, 20, 14, 10, 8, 6, 5, 4, 2, 1];

const NO_BURST = { intervalMs: 600 * MS_PER_S, burstMs: 60 * MS_PER_S, rateFactor: 1 };

/**
 * Deployments of the experiments: the two current ones, and one failure domain of the fleet size
 * expected in two years.
 */
export const deployments = {
  /** Interactive use during opening hours: short prompts arrive in bursts. */
  stuhlwerk: {
    name: 'stuhlwerk',
    engines: 15,
    serviceReplicas: 3,
    entryVms: 9,
    failureDomains: 3,
    engine: ENGINE,
    teamRates: TEN_TEAM_RATES,
    shortBurst: { intervalMs: 300 * MS_PER_S, burstMs: 30 * MS_PER_S, rateFactor: 1.5 },
    longBurst: NO_BURST,
    prefixesPerTeam: 40,
  },
  /** Filing week: long prompts of document reviews arrive in bursts. */
  reykjanes: {
    name: 'reykjanes',
    engines: 25,
    serviceReplicas: 3,
    entryVms: 9,
    failureDomains: 3,
    engine: ENGINE,
    teamRates: TEN_TEAM_RATES,
    shortBurst: NO_BURST,
    longBurst: { intervalMs: 300 * MS_PER_S, burstMs: 60 * MS_PER_S, rateFactor: 1.5 },
    prefixesPerTeam: 40,
  },
  /** One of 14 failure domains at full size, with 107 engines and 24 entry VMs. */
  domain: {
    name: 'domain',
    engines: 107,
    serviceReplicas: 3,
    entryVms: 24,
    failureDomains: 1,
    engine: ENGINE,
    teamRates: Array.from({ length: 49 }, (_, index) => 1 / (index + 1)),
    shortBurst: { intervalMs: 300 * MS_PER_S, burstMs: 30 * MS_PER_S, rateFactor: 1.5 },
    longBurst: NO_BURST,
    prefixesPerTeam: 40,
  },
} as const satisfies Readonly<Record<string, Deployment>>;

export type DeploymentName = keyof typeof deployments;
