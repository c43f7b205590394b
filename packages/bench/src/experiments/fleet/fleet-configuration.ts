import type { Configuration, Engine, EntryVm, ModelDeclaration } from '@savorywind/model';
import type { Deployment } from '../workload/types.js';

const formatDomain = (deployment: Deployment, index: number): string =>
  `domain-${index % deployment.failureDomains}`;

const listIndexes = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

/** Entry VMs of a deployment, distributed evenly over its failure domains. */
export const listEntryVms = (deployment: Deployment): EntryVm[] =>
  listIndexes(deployment.entryVms).map((index) => ({
    id: `entry-${index}`,
    incarnation: 1,
    failureDomain: formatDomain(deployment, index),
    link: { host: '10.0.0.1', port: 7_000 + index },
  }));

const createEngine = (deployment: Deployment, index: number): Engine => ({
  kind: 'engine',
  id: `engine-${index}`,
  failureDomain: formatDomain(deployment, index),
  address: { host: '10.0.1.1', port: 7_000 + index },
  model: 'assistant',
  memoryTokens: deployment.engine.memoryTokens,
  batchLimit: deployment.engine.batchLimit ?? 1,
  prefillTokensPerS: deployment.engine.prefillTokensPerS,
  decodeTokensPerS: deployment.engine.decodeTokensPerS,
  fencing: 'checked',
});

/** Creates the configuration of a deployment: teams, one model, one service, and endpoints. */
export const createFleetConfiguration = (
  deployment: Deployment,
  slowdownWeight: number,
  prefixRetention?: ModelDeclaration['prefixRetention'],
): Configuration => ({
  teams: deployment.teamRates.map((weight, index) => ({
    id: `team-${index}`,
    credentialSha256: ['0'.repeat(64)],
    weight,
    limits: {},
  })),
  models: [
    {
      id: 'assistant',
      defaultTimeoutMs: 600_000,
      maxOutputTokens: 2_000,
      ...(prefixRetention === undefined ? {} : { prefixRetention }),
    },
  ],
  services: [
    {
      id: 'booking',
      defaultTimeoutMs: 5_000,
      unkeyedCalls: 'refuse',
      calls: [{ methods: ['GET'], path: '/bookings/*', idempotency: 'idempotent' }],
    },
  ],
  endpoints: [
    ...listIndexes(deployment.engines).map((index) => createEngine(deployment, index)),
    ...listIndexes(deployment.serviceReplicas).map((index) => ({
      kind: 'service' as const,
      id: `booking-${index}`,
      failureDomain: formatDomain(deployment, index),
      address: { host: '10.0.2.1', port: 7_000 + index },
      service: 'booking',
    })),
  ],
  presets: [{ id: 'measured', slowdownWeight }],
  presetInForce: 'measured',
});
