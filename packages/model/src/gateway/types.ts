import type {
  EndpointId,
  EntryVmId,
  FailureDomainId,
  NetworkAddress,
  ServiceId,
  TeamId,
} from '../entities/types.js';

/**
 * Types of the gateway: HTTP routes in front of services whose endpoints register themselves.
 * Bodies are opaque; the request head states the size of a prompt.
 */

/**
 * Kind of a route. Together with `resumable` it decides whether a request that may have run may be
 * sent again.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** One of the services among which a route's requests are split. */
export interface RouteShare {
  readonly service: ServiceId;
  /** Weight relative to the sum of the weights of the route's shares. */
  readonly weight: number;
}

/** How requests of one host below one path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time from arrival to the complete response. */
  readonly timeoutMs: number;
  /**
   * Wanted time to the complete response, or to a stream's first event; a later response counts as
   * late.
   */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Most attempts of one request that endpoints may have executed. */
  readonly maxAttempts: number;
  /** Whether callers need no credential. */
  readonly anonymous: boolean;
  /**
   * Whether a stream that breaks may be resumed on another endpoint after the caller's last event.
   */
  readonly resumable: boolean;
  /** Longest permitted pause between two events of a stream; undefined for other kinds. */
  readonly maxEventGapMs: number | undefined;
  /** What is wrong with its declaration, for which its requests are refused; undefined if nothing is. */
  readonly fault?: string | undefined;
}

/** Capacity and cost model of a service's engines, as declared in the configuration. */
export interface EngineTraits {
  /** Requests that an engine processes concurrently. */
  readonly slots: number;
  /** Capacity of the KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Token steps in one pass while any request decodes. */
  readonly stepsPerPass: number;
  /** Duration of a step without the additions below. */
  readonly stepMs: number;
  /** Time added to a step for each request that decodes. */
  readonly stepMsPerWriter: number;
  /** Time added to a step for each 1,000 context tokens of the requests that decode. */
  readonly stepMsPerThousandContext: number;
  /** Prefill rate, without the attention cost below. */
  readonly readTokensPerMs: number;
  /** Prefill time added for each million pairs of a token and an earlier token (attention cost). */
  readonly readMsPerMillionPairs: number;
  /** Most prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
}

/** A service to which routes lead: a fleet of model engines or a plain service. */
export interface RoutedService {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Undefined for plain services. */
  readonly engine: EngineTraits | undefined;
  /** What its endpoints take while they are cold; undefined if they are never cold. */
  readonly cold?: ColdTraits | undefined;
}

/** What the endpoints of a service take for a while after they have started. */
export interface ColdTraits {
  /** Requests per second that one endpoint takes while it is cold, from all entry VMs together. */
  readonly perSecond: number;
  /** Time for which an endpoint is cold, in milliseconds. */
  readonly durationMs: number;
}

/** A team of callers, identified by its credentials. */
export interface GatewayTeam {
  readonly name: TeamId;
  readonly credentials: readonly string[];
  /** Overrides the priority of the route; undefined if the team has none. */
  readonly priority: number | undefined;
  /** What is wrong with its declaration, for which its requests are refused; undefined if nothing is. */
  readonly fault?: string | undefined;
}

/** Limits of the sizes and times of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators declare. Versions only increase. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Undefined if no route requires credentials. */
  readonly teams: readonly GatewayTeam[] | undefined;
  readonly callerLimits: CallerLimits;
}

/** A `leaving` endpoint gets no new work. */
export type GatewayEndpointState = 'serving' | 'leaving';

/** The registration of an endpoint. */
export interface GatewayEndpoint {
  readonly id: EndpointId;
  readonly service: ServiceId;
  readonly address: NetworkAddress;
  readonly failureDomain: FailureDomainId;
  readonly state: GatewayEndpointState;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  /** Unix time of its start, in milliseconds, which changes when it restarts under the same id. */
  readonly startedAtMs: number | undefined;
  /**
   * Time for which it stays cold from the writing of the registration, in milliseconds; 0 or undefined if it
   * is not cold.
   */
  readonly coldForMs?: number | undefined;
}

/** Limits of the deployment that the gateway's decisions keep. */
export interface GatewayContract {
  /** Time from the revocation of a credential by which it is refused at the latest. */
  readonly credentialFreshnessMs: number;
  /** Time from an endpoint's announcement that it leaves by which it gets no new work. */
  readonly leavingNoticeMs: number;
  /** Time from the acceptance of a configuration change by which it is applied. */
  readonly applyMs: number;
  /** Time from a request to evacuate a failure domain by which nothing more is sent there, if there is a bound. */
  readonly evacuationMs?: number | undefined;
  /**
   * Time from the end of a disturbance by which this VM acts on what the store holds, and on what holds
   * between it and its peers.
   */
  readonly resyncMs: number;
  /** Retries per request that all entry VMs together may send to a service in a window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries in a window that are permitted without requests, for all entry VMs together. */
  readonly retryAllowance: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopGraceMs: number;
  /** Time after an outage of the store by which live endpoints have registered again. */
  readonly reregistrationMs: number;
  /** Longest duration of one memory reservation. */
  readonly maxReservationMs: number;
  /** Time after which memory that no request uses must be free again. */
  readonly reservationReleaseMs: number;
  readonly callerWait: CallerWaitLimits;
  /** Rate of this VM's network link in each direction, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  /** What cold endpoints may get; undefined if the deployment does not bound it. */
  readonly coldBound?: ColdBound | undefined;
}

/**
 * Requests that a cold endpoint may get in any second from all entry VMs together: `ratio` times what its
 * service declares, and `allowance`.
 */
export interface ColdBound {
  readonly ratio: number;
  readonly allowance: number;
}

/**
 * How long callers wait for the next event of a stream, the first one included: the longest of
 * three times.
 */
export interface CallerWaitLimits {
  readonly minMs: number;
  /** Multiple of the route's target latency. */
  readonly targetMultiple: number;
  /** Multiple of the route's longest permitted pause between events. */
  readonly gapMultiple: number;
}

/** Identity of an entry VM among its peers. */
export interface GatewayPeer {
  readonly id: EntryVmId;
  readonly failureDomain: FailureDomainId;
  /** Address at which it receives datagrams. */
  readonly address: NetworkAddress;
}

/** Work of one entry VM on one engine. */
export interface EngineWork {
  readonly endpoint: EndpointId;
  /** Streams in the decode phase. */
  readonly writers: number;
  /** Streams with a permitted pause between events, in the prefill or decode phase. */
  readonly tightWriters: number;
  /** Shortest permitted pause of the streams in `tightWriters`, in milliseconds; 0 without any. */
  readonly tightGapMs: number;
  /** Requests in the prefill phase. */
  readonly readers: number;
  /**
   * Requests in the prefill phase whose prompts are long, also where this engine has only a part.
   */
  readonly longReaders: number;
  /** Remaining prefill time on an otherwise idle engine, in milliseconds. */
  readonly readMs: number;
  /** KV cache used, in tokens. */
  readonly memoryTokens: number;
}

/** What an entry VM knows of the limit that an endpoint names in its responses. */
export interface LimitObservation {
  readonly endpoint: EndpointId;
  /** Requests per second from all entry VMs together; undefined once the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time from the observation to the sending of this message, in milliseconds. */
  readonly ageMs: number;
  /** Start of the process that named it; undefined if it is not known, or from builds that do not send it. */
  readonly startedAtMs?: number | undefined;
}

/** An endpoint that has told an entry VM itself, in a response, that it leaves. */
export interface LeavingObservation {
  readonly endpoint: EndpointId;
  /** Start of the process that leaves; others under the same id are not concerned. */
  readonly startedAtMs: number;
  /** Time from the response to the sending of this message, in milliseconds. */
  readonly ageMs: number;
}

/** An engine process that was lost under requests that no answer has proved sound. */
export interface CrashObservation {
  /** Hash of the identity of the process. */
  readonly process: number;
  /** Hash of the fingerprint of one of the requests. */
  readonly request: number;
  /** Time from the start of the attempt to the loss, in milliseconds. */
  readonly tookMs: number;
  /** Time from the loss to the sending of this message, in milliseconds. */
  readonly ageMs: number;
}

/** What an entry VM knows of something that requests have in common, under which engines were lost. */
export interface HarmObservation {
  /** `part`, service, model and part of the prompt, or `request`, service and fingerprint, with slashes. */
  readonly suspect: string;
  /** Position of the part in the prompt; deeper suspects are common to fewer requests. */
  readonly depth: number;
  readonly crashes: readonly CrashObservation[];
  /**
   * Time since an answer of this entry VM last proved it sound, in milliseconds; undefined if none did. Earlier
   * builds tell the time since an answer last began.
   */
  readonly begunAgeMs: number | undefined;
  /** Time since this entry VM last let a request with it through as a trial, in milliseconds. */
  readonly triedAgeMs: number | undefined;
}

/** Asks the coordinator of an endpoint with a limit for the permit to send it one request. */
export interface PermitRequest {
  /** Chosen by the asking entry VM; unique. */
  readonly permitId: string;
  /** Where the answer is sent. */
  readonly replyTo: NetworkAddress;
  readonly limit: LimitObservation;
  /** A permit that can't be used within this time is of no use. */
  readonly maxDelayMs: number;
}

/** The coordinator's answer to a {@link PermitRequest}. */
export interface PermitAnswer {
  readonly permitId: string;
  /** If granted, one request may be sent after `delayMs`; if denied, asking again before it is of no use. */
  readonly outcome: 'granted' | 'denied';
  readonly delayMs: number;
}

/** The newest version of the configuration that an entry VM knows to be committed. */
export interface KnownConfiguration {
  readonly version: number;
  /** For how long the entry VM has known it when it sends this, in milliseconds. */
  readonly ageMs: number;
}

/** What an entry VM says of requests that peers may forward to it. */
export interface ForwardingOffer {
  /** False while it stops. */
  readonly isAccepting: boolean;
  /** Services none of whose endpoints it can connect to. */
  readonly lostServices: readonly ServiceId[];
}

/** Work that an entry VM reports to its peers; each snapshot replaces the previous one. */
export interface WorkSnapshot {
  readonly from: GatewayPeer;
  /** Start of the sender's process, Unix milliseconds; orders snapshots across restarts. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly work: readonly EngineWork[];
  /** Undefined if the sender knows no configuration, or from builds that do not send it. */
  readonly configuration?: KnownConfiguration | undefined;
  /** Undefined from builds that know neither limits nor permits. */
  readonly limits?: readonly LimitObservation[] | undefined;
  /** Undefined if the sender knows none, or from builds that do not send them. */
  readonly leaving?: readonly LeavingObservation[] | undefined;
  /** Undefined if the sender has nothing to tell, or from builds that do not send it. */
  readonly harm?: readonly HarmObservation[] | undefined;
  /**
   * For how long the store has answered the sender without an outage, in milliseconds; undefined while it
   * does not, or from builds that do not send it.
   */
  readonly storeAvailableMs?: number | undefined;
  /** Undefined from builds that take no requests of peers. */
  readonly forwarding?: ForwardingOffer | undefined;
}
