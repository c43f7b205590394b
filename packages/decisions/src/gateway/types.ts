import type {
  AttemptId,
  CallerLimits,
  EndpointId,
  EntryVmId,
  FailureDomainId,
  GatewayConfiguration,
  GatewayContract,
  GatewayEndpoint,
  GatewayPeer,
  LogEvent,
  LogFields,
  MonotonicMs,
  NetworkAddress,
  PermitAnswer,
  PermitRequest,
  RequestId,
  Route,
  WorkSnapshot,
} from '@savorywind/model';
import type { ForwardedFrom, ForwardingOutcome, PeerRefusal } from './forwarding/types.js';
import type { ProbeOutcome } from './path/probe-round.js';
import type { TableSource } from './table-reads/table-sources.js';

/** A caller's request, with the body received completely. */
export interface GatewayRequest {
  readonly requestId: RequestId;
  /** The caller's id of this attempt, which is passed to the endpoint unchanged. */
  readonly callerAttempt: string | undefined;
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /**
   * The same for requests with the same method, host, path, query, credential and body: 16 hexadecimal
   * digits.
   */
  readonly fingerprint: string;
  readonly credential: string | undefined;
  /** The caller's timeout from arrival, in milliseconds; undefined if it sent none. */
  readonly waitsMs: number | undefined;
  /** Tokens of the prompt; 0 for requests that are not generations. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Id of the last event that the caller received of a stream that broke. */
  readonly lastEventId: string | undefined;
  /** Model that the caller names; undefined if it names none. */
  readonly model: string | undefined;
  /**
   * Ids of the parts of the prompt that other prompts may share, in order and without repetition; the last
   * part is the request's own and is missing.
   */
  readonly sharedParts: readonly string[];
  /** Undefined if it came from a caller itself. */
  readonly forwardedFrom?: ForwardedFrom | undefined;
}

/** How an attempt ended without a response that can be forwarded. */
export type GatewayAttemptFailure =
  /** No byte of the request left this process. */
  | 'notSent'
  /** The endpoint responded that it did not execute the request. */
  | 'rejected'
  /** Another endpoint now has the address, and did not execute the request. */
  | 'otherEndpoint'
  /**
   * Not sent either: this process can't put the request, or the address, into bytes. Whether the request or
   * the endpoint is the cause is not known.
   */
  | 'unsendable'
  /** Not sent either: this machine has no descriptor, port or memory for another connection. */
  | 'noResources'
  /** Not sent either: the endpoint takes no more requests. */
  | 'withdrawn'
  /** The connection was lost, or the response ended early. */
  | 'broken'
  /** The received bytes are not a response to this request. */
  | 'invalid';

/** The head of an endpoint's response. */
export interface GatewayResponseHead {
  readonly status: number;
  /**
   * Whether the response carries the endpoint's receipt, which proves that the endpoint sent it.
   */
  readonly hasReceipt: boolean;
  /** `events`: a stream that is forwarded event by event; `whole`: any other body. */
  readonly content: 'events' | 'whole';
  /** Whether the response says where its body ends, so that it does not end with its connection. */
  readonly isDelimited: boolean;
  /** The endpoint that sent the response; undefined if the attempt was sent to it directly. */
  readonly servedBy?: EndpointId | undefined;
}

/**
 * What the head of a response says of the requests per second that its endpoint takes from all entry VMs
 * together: the number, `none` if it names none, or `unreadable` if the field can't be decoded.
 */
export type RequestLimitReport = number | 'none' | 'unreadable';

/** Identity of one process of an endpoint: it may restart under the same id. */
export type EndpointProcess = Pick<GatewayEndpoint, 'id' | 'startedAtMs'>;

/** What the head of a response says of the endpoint's readiness for further requests. */
export interface EndpointNotice {
  /** Whether the endpoint says that it leaves; `unreadable` if the field can't be decoded. */
  readonly leaving: 'no' | 'yes' | 'unreadable';
  /**
   * Time from the response, in milliseconds, for which the endpoint wants nothing from this entry VM;
   * `none` if it names no time.
   */
  readonly retryAfterMs: number | 'none' | 'unreadable';
}

/** A changed registration; `endpoint` is undefined if the registration was removed. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly endpoint: GatewayEndpoint | undefined;
}

/** Whether the operator asks that nothing more be sent to the endpoints of a failure domain. */
export interface EvacuationChange {
  readonly domain: FailureDomainId;
  readonly isEvacuated: boolean;
}

/** What a read of the table says that holds the operator's requests to evacuate failure domains. */
export interface EvacuationsRead {
  /** `snapshot`: domains that are missing are not evacuated; `change`: what has changed, perhaps nothing. */
  readonly source: 'snapshot' | 'change';
  readonly changes: readonly EvacuationChange[];
  /** When the query to the store was sent. */
  readonly requestedAtMs: MonotonicMs;
}

/** When a read of the store was sent. */
export interface StoreReadTime {
  /** Undefined for a read that was sent just now. */
  readonly requestedAtMs?: MonotonicMs;
}

/**
 * Why this process closes the connection of a caller with a request on it unanswered.
 *
 * - `malformedInput`: bytes that are no request followed a request
 * - `stopping`: the time of the stopping process has ended
 * - `fault`: an exception has ended what passes the response on
 */
export type CloseReason = 'malformedInput' | 'stopping' | 'fault' | 'slowReader';

/** Input of the gateway's decisions. */
export type GatewayEvent =
  /** A timer is due. */
  | { readonly kind: 'woken' }
  | {
      readonly kind: 'drainRequested';
      /** Time that the process has for its requests; those that are open at its end are ended. */
      readonly timeLeftMs: number;
    }
  /**
   * Time passed that the monotonic clock did not count: the process was suspended, or the wall
   * clock was set forward, which can't be told apart.
   */
  | { readonly kind: 'time.lost'; readonly lostMs: number }
  /** The limits of the deployment were reloaded. */
  | { readonly kind: 'contract.changed'; readonly contract: GatewayContract }
  /** The store confirmed the configuration. */
  | {
      readonly kind: 'configuration.confirmed';
      /** When the query to the store was sent. */
      readonly requestedAtMs: MonotonicMs;
      /** Undefined if it has not changed since the last response. */
      readonly configuration: GatewayConfiguration | undefined;
      /** Whether the configuration was read with all rows of its table, or because it changed. */
      readonly source: 'snapshot' | 'change';
    }
  /** Comes before the configuration that was read with it. */
  | ({ readonly kind: 'evacuations.read' } & EvacuationsRead)
  | ({
      readonly kind: 'endpoints.read';
      readonly endpoints: readonly GatewayEndpoint[];
    } & StoreReadTime)
  | ({
      readonly kind: 'endpoints.changed';
      readonly changes: readonly EndpointChange[];
    } & StoreReadTime)
  /**
   * The store came back from an older copy of itself. Comes before all reads of the new era, and none of
   * an older one comes after it.
   */
  | { readonly kind: 'store.eraRaised'; readonly previousEra: number; readonly era: number }
  /** A call to the store got no response or was refused. */
  | ({ readonly kind: 'store.failed'; readonly detail: string } & StoreReadTime)
  /** The peer that passed on the tables of the store did not answer, refused, or knows too little. */
  | { readonly kind: 'tables.sourceFailed'; readonly peer: EntryVmId; readonly detail: string }
  /** A peer asked for the tables of the store. */
  | { readonly kind: 'tables.asked' }
  /** Comes before all others where the process may have been preceded by others with the same store. */
  | { readonly kind: 'process.started' }
  | {
      readonly kind: 'peers.read';
      readonly peers: readonly GatewayPeer[];
      /** Era of the store in which they were read; undefined if it names none. */
      readonly storeEra?: number | undefined;
      /** Latest era in which one of them, or an earlier process of this VM, had proof of its configuration. */
      readonly provenEra?: number | undefined;
    }
  | { readonly kind: 'peer.received'; readonly snapshot: WorkSnapshot }
  /** A peer asks for a permit. */
  | { readonly kind: 'permit.requested'; readonly request: PermitRequest }
  /** A coordinator answered a request for a permit. */
  | { readonly kind: 'permit.answered'; readonly answer: PermitAnswer }
  | { readonly kind: 'request.arrived'; readonly request: GatewayRequest }
  | {
      readonly kind: 'request.abandoned';
      readonly requestId: RequestId;
      /** Why this process has closed the connection; undefined if the caller has left. */
      readonly closedFor?: CloseReason | undefined;
    }
  /** The head of the endpoint's response, or of its rejection, has arrived; comes before other events. */
  | {
      readonly kind: 'attempt.limitReported';
      readonly attemptId: AttemptId;
      /** The endpoint that named it, if the attempt was forwarded to a peer. */
      readonly endpoint?: EndpointProcess | undefined;
      readonly limit: RequestLimitReport;
    }
  /** A response of the endpoint carries a notice; comes before what the response means for its request. */
  | {
      readonly kind: 'endpoint.noticeReported';
      readonly endpoint: EndpointProcess;
      readonly notice: EndpointNotice;
    }
  | {
      readonly kind: 'attempt.headReceived';
      readonly attemptId: AttemptId;
      readonly head: GatewayResponseHead;
    }
  /** An event of a stream was forwarded to the caller. */
  | {
      readonly kind: 'attempt.eventPassed';
      readonly attemptId: AttemptId;
      readonly eventId: string | undefined;
    }
  /** The response was paused because the caller reads slowly (`held`), or goes on (`flowing`). */
  | {
      readonly kind: 'attempt.flowChanged';
      readonly attemptId: AttemptId;
      readonly flow: 'held' | 'flowing';
    }
  /** The endpoint's response is complete; one with `whole` delivery has not been forwarded yet. */
  | { readonly kind: 'attempt.ended'; readonly attemptId: AttemptId }
  | {
      readonly kind: 'attempt.failed';
      readonly attemptId: AttemptId;
      readonly failure: GatewayAttemptFailure;
      readonly detail: string;
      /** Address of the endpoint that failed, helpers included, if the response names it. */
      readonly atFault?: NetworkAddress | undefined;
      /** What the peer says to which the request was forwarded. */
      readonly refusal?: PeerRefusal | undefined;
    }
  /** A probe of the path to the endpoints has ended. */
  | {
      readonly kind: 'path.probed';
      readonly endpoint: EndpointId;
      readonly outcome: ProbeOutcome;
    }
  | {
      readonly kind: 'reservation.answered';
      readonly reservationId: string;
      readonly outcome: ReservationOutcome;
    };

/** Outcome of a reservation; `unknown`: no response came, so the memory may be reserved. */
export type ReservationOutcome = 'reserved' | 'refused' | 'unknown';

/**
 * An engine that prefills a part of a prompt; with a reservation it also holds that part's KV
 * cache.
 */
export interface PrefillHelper {
  readonly address: NetworkAddress;
  readonly reservationId: string | undefined;
}

/** Why the gateway refuses a request. */
export type GatewayRefusalReason =
  | 'noRoute'
  | 'wrongCredential'
  | 'notReady'
  | 'credentialsStale'
  /** The declaration of its route or of its team can't be used. */
  | 'misconfigured'
  | 'noEndpoint'
  /** All endpoints of the service have named a time to come back. */
  | 'endpointsClosed'
  | 'noRoom'
  | 'rejected'
  /** Engines crashed under requests that have something in common with this one. */
  | 'harmful'
  /** Its prompt has more shared parts than can be told apart. */
  | 'tooManyParts'
  /** The process stops before the response could be complete. */
  | 'stopping'
  | 'broken'
  | 'timeout';

/** Final response of the gateway to a request that it does not serve. */
export interface GatewayRefusal {
  readonly reason: GatewayRefusalReason;
  /** Undefined if a retry does not help, or may execute the request twice. */
  readonly retryAfterMs: number | undefined;
  /** What became of the request if a peer has forwarded it. */
  readonly forwarding?: ForwardingOutcome | undefined;
}

/** How a request ended, for metrics. */
export type RequestOutcome =
  | 'served'
  /** Served, but above the target latency or with too long a pause between events. */
  | 'late'
  | 'brokenOff'
  /** The caller has left. */
  | 'abandoned'
  /** This process has closed the connection. */
  | 'closed'
  | GatewayRefusalReason;

/** Metrics of a request that has ended. Times count from its arrival, in milliseconds. */
export interface RequestMeasured {
  /** `none` if the request was refused before it was admitted, or needed no credential. */
  readonly team: string;
  /** `none` if the request was refused before it was admitted. */
  readonly route: string;
  readonly promptTokens: number;
  readonly outcome: RequestOutcome;
  /** Until the first attempt started; undefined without any attempt. */
  readonly queuedMs: number | undefined;
  /** Until the first event of a stream was forwarded. */
  readonly firstEventMs: number | undefined;
  readonly totalMs: number;
}

/**
 * Which connection an attempt uses.
 *
 * - `kept`: any keep-alive connection, else a new one
 * - `recent`: a keep-alive connection that was in use recently, else a new one
 * - `new`: a new one, which no response to an earlier attempt can arrive on
 */
export type ConnectionChoice = 'kept' | 'recent' | 'new';

/** Output of the gateway's decisions, executed by the process. */
export type GatewayEffect =
  | {
      readonly kind: 'attempt.start';
      readonly attemptId: AttemptId;
      readonly requestId: RequestId;
      readonly endpoint: GatewayEndpoint;
      readonly team: string | undefined;
      /** Time until the endpoint's response must be complete. */
      readonly timeoutMs: number;
      /** Time within which the connection must be open and the request written. */
      readonly connectTimeoutMs: number;
      /** 0 is the most urgent; undefined leaves the order to the endpoint. */
      readonly priority: number | undefined;
      /** Id of the last event that was forwarded; replaces the caller's. */
      readonly lastEventId: string | undefined;
      readonly helpers: readonly PrefillHelper[];
      readonly connection: ConnectionChoice;
      /** `whole`: the response is buffered until it is complete. */
      readonly delivery: 'whole' | 'events';
    }
  /** Sends the request to a peer, which sends it to one endpoint. */
  | {
      readonly kind: 'attempt.forward';
      readonly attemptId: AttemptId;
      readonly requestId: RequestId;
      readonly peer: GatewayPeer;
      readonly forwardedFrom: ForwardedFrom;
      /** Time within which the connection must be open. */
      readonly connectTimeoutMs: number;
      /** Id of the last event that was forwarded; replaces the caller's. */
      readonly lastEventId: string | undefined;
      readonly connection: ConnectionChoice;
      readonly delivery: 'whole' | 'events';
    }
  | { readonly kind: 'attempt.cancel'; readonly attemptId: AttemptId }
  /** Fails the attempt as `withdrawn` if no byte of the request has left this process. */
  | { readonly kind: 'attempt.withdraw'; readonly attemptId: AttemptId }
  /** Forwards the head of the response to the caller, and the body as it arrives. */
  | {
      readonly kind: 'caller.relay';
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
      /** The endpoint that sent the response; undefined if a peer has passed it on. */
      readonly endpoint: EndpointProcess | undefined;
    }
  /** Ends a response that was forwarded completely. */
  | { readonly kind: 'caller.finish'; readonly requestId: RequestId }
  /** Ends a response so that the caller can see that it is incomplete. */
  | { readonly kind: 'caller.breakOff'; readonly requestId: RequestId }
  | {
      readonly kind: 'caller.refuse';
      readonly requestId: RequestId;
      readonly refusal: GatewayRefusal;
    }
  | {
      readonly kind: 'reservation.ask';
      readonly reservationId: string;
      readonly endpoint: GatewayEndpoint;
      readonly tokens: number;
      readonly holdMs: number;
    }
  | {
      readonly kind: 'reservation.release';
      readonly reservationId: string;
      readonly endpoint: GatewayEndpoint;
    }
  /** Opens a connection to an endpoint and closes it again, to see whether there is a path to it. */
  | {
      readonly kind: 'path.probe';
      readonly endpoint: GatewayEndpoint;
      /** Time within which the connection must be open. */
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'peers.send';
      readonly snapshot: WorkSnapshot;
      readonly peers: readonly NetworkAddress[];
    }
  | {
      readonly kind: 'permit.request';
      readonly request: PermitRequest;
      readonly to: NetworkAddress;
    }
  | { readonly kind: 'permit.answer'; readonly answer: PermitAnswer; readonly to: NetworkAddress }
  /** Reads the changes of all watched tables at once: the store answers again after an outage. */
  | { readonly kind: 'tables.readNow' }
  /** From now on the tables of the store are read from another source, or passed on to peers. */
  | { readonly kind: 'tables.sourceChanged'; readonly source: TableSource }
  /** Checks the row of this entry VM in the store, writes it again if needed, and reads the peers. */
  | { readonly kind: 'registration.renew' }
  /** Has the registration tell the era in which the configuration was proved to be current. */
  | { readonly kind: 'registration.prove'; readonly era: number }
  | { readonly kind: 'callerLimits.changed'; readonly limits: CallerLimits }
  /** Closes keep-alive connections to an endpoint that was removed, restarted or stalled. */
  | { readonly kind: 'endpoint.forgotten'; readonly endpoint: EndpointId }
  | { readonly kind: 'readiness'; readonly ready: boolean }
  | { readonly kind: 'request.measured'; readonly measured: RequestMeasured }
  /** Accepts no more connections; those in use stay open. */
  | { readonly kind: 'callers.close' }
  /** No request is in flight any more, and the process may exit. Comes once. */
  | { readonly kind: 'drained' }
  | { readonly kind: 'log'; readonly event: LogEvent; readonly fields: LogFields };

/** Cost of a prompt on an engine: prefill time on an idle engine, and KV cache. */
export interface PromptCost {
  readonly prefillMs: number;
  readonly memoryTokens: number;
}

export type { Route };
