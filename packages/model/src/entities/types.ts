/**
 * Entry VMs, endpoints and requests. Identifiers are plain strings with type aliases, so that they are
 * serialized as JSON and MessagePack without conversion.
 */

export type FailureDomainId = string;
export type EntryVmId = string;
export type EndpointId = string;
export type TeamId = string;
export type ServiceId = string;
export type ModelId = string;
export type PresetId = string;
export type RequestId = string;
export type AttemptId = string;

/** Milliseconds on the monotonic clock of one process; never compared between processes. */
export type MonotonicMs = number;

/** Milliseconds since the Unix epoch; compared between processes only with an explicit tolerance. */
export type UnixMs = number;

export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** One incarnation of an entry VM. A restart gets a higher one, so that old state is recognized. */
export interface EntryVm {
  readonly id: EntryVmId;
  readonly incarnation: number;
  readonly failureDomain: FailureDomainId;
  readonly link: NetworkAddress;
}

/** Declared state of an endpoint; an endpoint that is leaving gets no new work. */
export type EndpointState = 'serving' | 'leaving';

export type EndpointKind = 'engine' | 'service';

/** Whether an engine refuses orders with a lower fencing number than the highest it has seen. */
export type FencingSupport = 'checked' | 'ignored';

/** Phases of generation that an engine serves; `mixed` means both. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** What an engine has loaded or is ordered to load, in addition to the name of the model. */
export interface EnginePlacement {
  readonly version: string;
  readonly role: EngineRole;
  readonly adapters: string[];
}

/** A model engine: its model, address and capacity. */
export interface Engine {
  readonly kind: 'engine';
  readonly id: EndpointId;
  readonly failureDomain: FailureDomainId;
  readonly address: NetworkAddress;
  readonly model: ModelId;
  /** KV cache capacity, in tokens. */
  readonly memoryTokens: number;
  /** Largest number of sequences that decode concurrently without exceeding the contracted slowdown. */
  readonly batchLimit: number;
  /** Prefill rate of an otherwise idle engine, in prompt tokens per second. */
  readonly prefillTokensPerS: number;
  /** Decode rate of one sequence in a full batch, in tokens per second. */
  readonly decodeTokensPerS: number;
  readonly fencing: FencingSupport;
  readonly placement?: EnginePlacement | undefined;
  /** Absent means serving. */
  readonly state?: EndpointState | undefined;
}

/** One replica of a plain service. */
export interface ServiceReplica {
  readonly kind: 'service';
  readonly id: EndpointId;
  readonly failureDomain: FailureDomainId;
  readonly address: NetworkAddress;
  readonly service: ServiceId;
  /** Absent means serving. */
  readonly state?: EndpointState | undefined;
}

export type Endpoint = Engine | ServiceReplica;

export type Idempotency = 'idempotent' | 'nonIdempotent';

/** Parameters of one request: its target, team, size and timeout. */
export type RequestContract = ModelContract | ServiceContract;

interface ContractBase {
  readonly requestId: RequestId;
  readonly team: TeamId;
  /** Time from arrival within which the final answer has to be sent. */
  readonly timeoutMs: number;
  /** Digest of method, path and body; distinguishes a retry from another request with the same key. */
  readonly digest: string;
}

/** Contract of a request to a model. */
export interface ModelContract extends ContractBase {
  readonly kind: 'model';
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Digests of the leading prompt blocks, shortest prefix first; used to find a cached prefix. */
  readonly prefixDigests: readonly string[];
}

/** Contract of a call to a plain service. */
export interface ServiceContract extends ContractBase {
  readonly kind: 'service';
  readonly service: ServiceId;
  readonly idempotency: Idempotency;
  readonly idempotencyKey: string | undefined;
}
