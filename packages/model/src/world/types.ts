/**
 * The machines and contracts that savorywind deals with. Identifiers are plain strings, branded by
 * alias only, so that they can travel as JSON and MessagePack unchanged.
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

/** Milliseconds since the Unix epoch; compared between processes only with a stated tolerance. */
export type UnixMs = number;

export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** One life of an entry VM. A restart gets a new incarnation, so old state is never taken for new. */
export interface EntryVm {
  readonly id: EntryVmId;
  readonly incarnation: number;
  readonly failureDomain: FailureDomainId;
  readonly link: NetworkAddress;
}

/** What operators declare of an endpoint: a leaving one gets no new work. */
export type EndpointState = 'serving' | 'leaving';

export type EndpointKind = 'engine' | 'service';

/** Whether an engine refuses an order that carries an older fencing number than one it has seen. */
export type FencingSupport = 'checked' | 'ignored';

export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** What an engine has loaded, or is ordered to load, besides the model's name. */
export interface EnginePlacement {
  readonly version: string;
  readonly role: EngineRole;
  readonly adapters: string[];
}

/** A model engine: what it serves, where, and how much KV memory it has. */
export interface Engine {
  readonly kind: 'engine';
  readonly id: EndpointId;
  readonly failureDomain: FailureDomainId;
  readonly address: NetworkAddress;
  readonly model: ModelId;
  /** KV cache capacity, in tokens. */
  readonly memoryTokens: number;
  /** Sequences that decode together without slowing each other beyond the contract. */
  readonly batchLimit: number;
  /** Prompt tokens read per second by an otherwise idle engine. */
  readonly prefillTokensPerS: number;
  /** Tokens generated per second for one sequence in a full batch. */
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

/** What a caller may expect: which call it is, for whom, how large and until when. */
export type RequestContract = ModelContract | ServiceContract;

interface ContractBase {
  readonly requestId: RequestId;
  readonly team: TeamId;
  /** Time from arrival within which the final answer is due. */
  readonly timeoutMs: number;
  /** Digest of method, path and body: tells a retry from another request under the same key. */
  readonly digest: string;
}

export interface ModelContract extends ContractBase {
  readonly kind: 'model';
  readonly model: ModelId;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Digests of the prompt's leading blocks, shortest first; used to find a cached prefix. */
  readonly prefixDigests: readonly string[];
}

export interface ServiceContract extends ContractBase {
  readonly kind: 'service';
  readonly service: ServiceId;
  readonly idempotency: Idempotency;
  readonly idempotencyKey: string | undefined;
}
