import { createHash } from 'node:crypto';
import type { ConfigurationHead } from '@savorywind/model';

export const DEMO_CREDENTIAL = 'demo-counter-credential';

export interface DemoPorts {
  readonly engine: number;
  readonly booking: number;
}

/** The configuration of the demo: one team, one model, one booking service. */
export const createDemoHead = (ports: DemoPorts): ConfigurationHead => ({
  version: 1,
  changeId: 'demo-1',
  author: 'demo',
  committedAtMs: Date.now(),
  configuration: {
    teams: [
      {
        id: 'counter',
        credentialSha256: [createHash('sha256').update(DEMO_CREDENTIAL).digest('hex')],
        weight: 1,
        limits: {},
      },
    ],
    models: [{ id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 64 }],
    services: [
      {
        id: 'booking',
        defaultTimeoutMs: 5_000,
        unkeyedCalls: 'refuse',
        calls: [{ methods: ['GET'], path: '/bookings/*', idempotency: 'idempotent' }],
      },
    ],
    endpoints: [
      {
        kind: 'engine',
        id: 'engine-a1',
        failureDomain: 'a',
        address: { host: '127.0.0.1', port: ports.engine },
        model: 'assistant',
        memoryTokens: 400_000,
        batchLimit: 64,
        prefillTokensPerS: 20_000,
        decodeTokensPerS: 100,
        fencing: 'checked',
      },
      {
        kind: 'service',
        id: 'booking-a1',
        failureDomain: 'a',
        address: { host: '127.0.0.1', port: ports.booking },
        service: 'booking',
      },
    ],
    presets: [{ id: 'ordinary', slowdownWeight: 0.5 }],
    presetInForce: 'ordinary',
  },
});
