import type { Deployment } from './types.js';

const S = 1_000;

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

const TEN_TEAMS = [30, 20, 14, 10, 8, 6, 5, 4, 2, 1];

const NO_BURST = { everyMs: 600 * S, lastsMs: 60 * S, factor: 1 };

/** Fleets of the experiments: both of today's, and the size of two years on scaled down. */
export const deployments = {
  /** Counter hours: short prompts come in bursts. */
  stuhlwerk: {
    name: 'stuhlwerk',
    engines: 15,
    serviceReplicas: 3,
    entryVms: 9,
    failureDomains: 3,
    engine: ENGINE,
    teamRates: TEN_TEAMS,
    shortBurst: { everyMs: 300 * S, lastsMs: 30 * S, factor: 1.5 },
    longBurst: NO_BURST,
    prefixesPerTeam: 40,
  },
  /** Filing week: long reviews come in bursts. */
  reykjanes: {
    name: 'reykjanes',
    engines: 25,
    serviceReplicas: 3,
    entryVms: 9,
    failureDomains: 3,
    engine: ENGINE,
    teamRates: TEN_TEAMS,
    shortBurst: NO_BURST,
    longBurst: { everyMs: 300 * S, lastsMs: 60 * S, factor: 1.5 },
    prefixesPerTeam: 40,
  },
  /** One of 14 failure domains at full size: 107 engines behind 24 entry VMs. */
  domain: {
    name: 'domain',
    engines: 107,
    serviceReplicas: 3,
    entryVms: 24,
    failureDomains: 1,
    engine: ENGINE,
    teamRates: Array.from({ length: 49 }, (_, index) => 1 / (index + 1)),
    shortBurst: { everyMs: 300 * S, lastsMs: 30 * S, factor: 1.5 },
    longBurst: NO_BURST,
    prefixesPerTeam: 40,
  },
} as const satisfies Readonly<Record<string, Deployment>>;

export type DeploymentName = keyof typeof deployments;
