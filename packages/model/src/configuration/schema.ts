import * as z from 'zod';

const identifier = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/);
const address = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
});

const team = z.strictObject({
  id: identifier,
  /** SHA-256 of each credential, in hex. */
  credentialSha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  /** Share of the fleet under contention, relative to the weights of other teams. */
  weight: z.number().positive().default(1),
  limits: z
    .strictObject({
      requestsPerS: z.number().positive().optional(),
      tokensPerS: z.number().positive().optional(),
      memoryTokens: z.number().positive().optional(),
    })
    .default({}),
});

const model = z.strictObject({
  id: identifier,
  defaultTimeoutMs: z.number().int().positive().default(600_000),
  maxOutputTokens: z.number().int().positive().default(4_096),
  /**
   * Declares that engines of the model retain the beginnings of the prompts that they have read;
   * absent if they don't. What was last used longer than `maxAgeMs` ago counts as dropped.
   */
  prefixRetention: z
    .strictObject({ maxAgeMs: z.number().int().positive().default(600_000) })
    .optional(),
});

const callRule = z.strictObject({
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  /** Path below the service; a trailing * matches any suffix. */
  path: z.string().startsWith('/'),
  idempotency: z.enum(['idempotent', 'nonIdempotent']),
});

const service = z.strictObject({
  id: identifier,
  defaultTimeoutMs: z.number().int().positive().default(30_000),
  calls: z.array(callRule).default([]),
  /** Whether a non-idempotent call without an idempotency key is sent once or refused. */
  unkeyedCalls: z.enum(['sendOnce', 'refuse']).default('refuse'),
});

const placement = z.strictObject({
  /** Version of the model's weights. */
  version: z.string().min(1).max(128),
  role: z.enum(['prefill', 'decode', 'mixed']),
  adapters: z.array(identifier).default([]),
});
/** An endpoint that is leaving gets no new work; the default is serving. */
const endpointState = z.enum(['serving', 'leaving']).optional();

const engine = z.strictObject({
  kind: z.literal('engine'),
  id: identifier,
  failureDomain: identifier,
  address,
  model: identifier,
  memoryTokens: z.number().int().positive(),
  batchLimit: z.number().int().positive(),
  prefillTokensPerS: z.number().positive(),
  decodeTokensPerS: z.number().positive(),
  fencing: z.enum(['checked', 'ignored']),
  /** What the engine is ordered to load; an engine without a placement gets no orders. */
  placement: placement.optional(),
  state: endpointState,
});

const serviceReplica = z.strictObject({
  kind: z.literal('service'),
  id: identifier,
  failureDomain: identifier,
  address,
  service: identifier,
  state: endpointState,
});

const preset = z.strictObject({
  id: identifier,
  /**
   * Weight of the two goals of placement: 1 minimizes only the slowdown of short requests, 0 only
   * the time to the first token of requests of all lengths.
   */
  slowdownWeight: z.number().min(0).max(1).default(0.5),
});

/** Schema of the configuration that operators declare. Every process validates what it receives. */
export const configurationSchema = z.strictObject({
  teams: z.array(team),
  models: z.array(model),
  services: z.array(service),
  endpoints: z.array(z.discriminatedUnion('kind', [engine, serviceReplica])),
  presets: z.array(preset).min(1),
  presetInForce: identifier,
});

/** Schema of one file of declarations, which may contain any part of the configuration. */
export const declarationsSchema = configurationSchema
  .partial()
  .extend({ $schema: z.string().optional() });

export type Declarations = z.input<typeof declarationsSchema>;

export type Configuration = z.output<typeof configurationSchema>;
export type TeamDeclaration = Configuration['teams'][number];
export type ModelDeclaration = Configuration['models'][number];
export type ServiceDeclaration = Configuration['services'][number];
export type EndpointDeclaration = Configuration['endpoints'][number];
export type PresetDeclaration = Configuration['presets'][number];

export type PlacementDeclaration = z.output<typeof placement>;

/** Committed version with its document, as kept by entry VMs and sent to peers. */
export interface ConfigurationHead {
  readonly version: number;
  /** Chosen by the operator's command. After a lost reply it shows whether the commit succeeded. */
  readonly changeId: string;
  readonly author: string;
  readonly committedAtMs: number;
  readonly configuration: Configuration;
}
