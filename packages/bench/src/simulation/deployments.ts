import type { Configuration, Engine, ServiceReplica } from '@savorywind/model';

export const FAILURE_DOMAINS = ['a', 'b', 'c'] as const;

const createEngine = (id: string, failureDomain: string): Engine => ({
  kind: 'engine',
  id,
  failureDomain,
  address: { host: id, port: 1 },
  model: 'assistant',
  memoryTokens: 20_000,
  batchLimit: 16,
  prefillTokensPerS: 20_000,
  decodeTokensPerS: 50,
  fencing: 'checked',
});

const createReplica = (id: string, failureDomain: string): ServiceReplica => ({
  kind: 'service',
  id,
  failureDomain,
  address: { host: id, port: 1 },
  service: 'booking',
});

/**
 * Creates a configuration with three teams and, in each of three failure domains, some engines and
 * a replica of the booking service.
 */
export const createSmallConfiguration = (enginesPerDomain: number): Configuration => ({
  teams: ['counter', 'office', 'audit'].map((id) => ({
    id,
    credentialSha256: ['0'.repeat(64)],
    weight: 1,
    limits: {},
  })),
  models: [{ id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 64 }],
  services: [
    {
      id: 'booking',
      defaultTimeoutMs: 5_000,
      unkeyedCalls: 'sendOnce',
      calls: [{ methods: ['GET'], path: '/bookings/*', idempotency: 'idempotent' }],
    },
  ],
  endpoints: FAILURE_DOMAINS.flatMap((domain) => [
    ...Array.from({ length: enginesPerDomain }, (_item, index) =>
      createEngine(`engine-${domain}${index + 1}`, domain),
    ),
    createReplica(`booking-${domain}1`, domain),
  ]),
  presets: [
    { id: 'ordinary', slowdownWeight: 0.5 },
    { id: 'peak', slowdownWeight: 1 },
  ],
  presetInForce: 'ordinary',
});

/** Returns the failure domain of each entry VM by id, for a number of entry VMs per domain. */
export const createEntryVmDomains = (perDomain: number): Record<string, string> =>
  Object.fromEntries(
    FAILURE_DOMAINS.flatMap((domain) =>
      Array.from({ length: perDomain }, (_item, index) => [`entry-${domain}${index + 1}`, domain]),
    ),
  );
