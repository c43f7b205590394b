import type { CallerLimits, EngineTraits, GatewayContract, Route } from '@savorywind/model';

/**
 * Creates the limits of a small deployment.
 *
 * @example
 * createGatewayContract({ linkBytesPerMs: 1_750 }); // links of 14 Mbit/s
 */
export const createGatewayContract = (changes: Partial<GatewayContract> = {}): GatewayContract => ({
  credentialFreshnessMs: 5_000,
  leavingNoticeMs: 2_000,
  applyMs: 2_000,
  resyncMs: 5_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retryAllowance: 100,
  stopGraceMs: 8_000,
  reregistrationMs: 2_300,
  maxReservationMs: 20_000,
  reservationReleaseMs: 4_000,
  callerWait: { minMs: 2_000, targetMultiple: 4, gapMultiple: 8 },
  linkBytesPerMs: 125_000,
  ...changes,
});

/** Creates the figures of an engine that runs 11 requests at once. */
export const createEngineTraits = (): EngineTraits => ({
  slots: 11,
  memoryTokens: 400_000,
  stepsPerPass: 34,
  stepMs: 1.3,
  stepMsPerWriter: 0.001,
  stepMsPerThousandContext: 0.002,
  readTokensPerMs: 150,
  readMsPerMillionPairs: 0.16,
  chunkTokens: 2_048,
});

/** Creates a route of streams that may be resumed, of the service `pool`. */
export const createStreamRoute = (changes: Partial<Route> = {}): Route => ({
  name: 'chat',
  host: 'chat.example',
  prefix: '/chat/',
  kind: 'streaming',
  timeoutMs: 15_000,
  targetLatencyMs: 300,
  priority: 1,
  shares: [{ service: 'pool', weight: 1 }],
  maxAttempts: 2,
  anonymous: true,
  resumable: true,
  maxEventGapMs: 250,
  ...changes,
});

/** Creates limits of what callers may send. */
export const createCallerLimits = (): CallerLimits => ({
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
});
