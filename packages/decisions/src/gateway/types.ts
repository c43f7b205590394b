import type {
  AttemptId,
  CallerLimits,
  EndpointId,
  GatewayConfiguration,
  GatewayContract,
  GatewayEndpoint,
  GatewayPeer,
  LogEvent,
  LogFields,
  MonotonicMs,
  NetworkAddress,
  RequestId,
  Route,
  WorkSnapshot,
} from '@savorywind/model';

/** A caller's request, read whole. */
export interface GatewayRequest {
  readonly requestId: RequestId;
  /** The caller's own name for this try; goes to the endpoint unchanged. */
  readonly callerAttempt: string | undefined;
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly credential: string | undefined;
  /** Time that the caller waits, counted from arrival; undefined where it did not say. */
  readonly waitsMs: number | undefined;
  /** 0 where the request is no generation. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Last event of a broken stream that the caller already has. */
  readonly lastEventId: string | undefined;
}

/** How an attempt at an endpoint ended without an answer that can be passed on. */
export type GatewayAttemptFailure =
  /** No byte of the request left this process. */
  | 'notSent'
  /** The endpoint said that it did not run the request. */
  | 'rejected'
  /** Another endpoint has the address; it did not run the request. */
  | 'otherEndpoint'
  /** The connection was lost, or the answer ended early. */
  | 'broken'
  /** The bytes that came are no answer to this request. */
  | 'invalid';

/** What the head of an endpoint's answer says. */
export interface GatewayAnswerHead {
  readonly status: number;
  /** The endpoint vouches for the answer with its receipt. */
  readonly hasReceipt: boolean;
}

/** Registrations that changed; undefined means that the endpoint is registered no more. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly endpoint: GatewayEndpoint | undefined;
}

export type GatewayEvent =
  | { readonly kind: 'woken' }
  | { readonly kind: 'drainRequested' }
  /**
   * Time passed that the clock of the decisions did not count: the process was frozen, or the time of
   * day was set forward, which looks the same.
   */
  | { readonly kind: 'time.lost'; readonly lostMs: number }
  /** The deployment's limits were read again. */
  | { readonly kind: 'contract.changed'; readonly contract: GatewayContract }
  /**
   * The store answered what the configuration is. `askedAtMs`: when the question left;
   * `configuration`: undefined where it has not changed since the last answer.
   */
  | {
      readonly kind: 'configuration.confirmed';
      readonly askedAtMs: MonotonicMs;
      readonly configuration: GatewayConfiguration | undefined;
    }
  | { readonly kind: 'endpoints.read'; readonly endpoints: readonly GatewayEndpoint[] }
  | { readonly kind: 'endpoints.changed'; readonly changes: readonly EndpointChange[] }
  /** A call to the store was not answered, or refused. */
  | { readonly kind: 'store.failed'; readonly detail: string }
  | { readonly kind: 'peers.read'; readonly peers: readonly GatewayPeer[] }
  | { readonly kind: 'peer.received'; readonly snapshot: WorkSnapshot }
  | { readonly kind: 'request.arrived'; readonly request: GatewayRequest }
  | { readonly kind: 'request.abandoned'; readonly requestId: RequestId }
  | {
      readonly kind: 'attempt.headReceived';
      readonly attemptId: AttemptId;
      readonly head: GatewayAnswerHead;
    }
  /** An event of a stream was passed on to the caller. */
  | {
      readonly kind: 'attempt.eventPassed';
      readonly attemptId: AttemptId;
      readonly eventId: string | undefined;
    }
  /** The caller reads more slowly than the answer comes, or reads on. */
  | {
      readonly kind: 'attempt.flowChanged';
      readonly attemptId: AttemptId;
      readonly flow: 'held' | 'flowing';
    }
  /** The endpoint's whole answer is here; where it was held back, it has not been passed on. */
  | { readonly kind: 'attempt.ended'; readonly attemptId: AttemptId }
  | {
      readonly kind: 'attempt.failed';
      readonly attemptId: AttemptId;
      readonly failure: GatewayAttemptFailure;
      readonly detail: string;
      /** Which of the endpoints that took part failed, where the answer says so. */
      readonly atFault?: NetworkAddress | undefined;
    }
  | {
      readonly kind: 'reservation.answered';
      readonly reservationId: string;
      readonly outcome: ReservationOutcome;
    };

/** `unknown`: no answer came, and the memory may be reserved. */
export type ReservationOutcome = 'reserved' | 'refused' | 'unknown';

/** An engine that reads a part of a prompt; with a reservation it also keeps that part. */
export interface ReadHelper {
  readonly address: NetworkAddress;
  readonly reservationId: string | undefined;
}

/** Why a caller gets an answer of the gateway's own. */
export type GatewayRefusalReason =
  | 'noRoute'
  | 'wrongCredential'
  | 'notReady'
  | 'credentialsStale'
  | 'noEndpoint'
  | 'noRoom'
  | 'rejected'
  | 'broken'
  | 'timeout';

/** A final answer of the gateway's own. */
export interface GatewayRefusal {
  readonly reason: GatewayRefusalReason;
  /** Undefined where asking again does not help, or is not known to be safe. */
  readonly retryAfterMs: number | undefined;
}

/** How a request ended, for metrics. */
export type RequestOutcome =
  | 'served'
  /** Served, later than its route aims at or with too long a pause. */
  | 'late'
  | 'brokenOff'
  | 'abandoned'
  | GatewayRefusalReason;

/** One request after its end. Times count from its arrival, in milliseconds. */
export interface RequestMeasured {
  /** `none` where no team was found or asked for. */
  readonly team: string;
  /** `none` where no route was found. */
  readonly route: string;
  readonly promptTokens: number;
  readonly outcome: RequestOutcome;
  /** Until it was first given to an endpoint; undefined where it never was. */
  readonly queuedMs: number | undefined;
  /** Until the first event of a stream was passed on. */
  readonly firstEventMs: number | undefined;
  readonly totalMs: number;
}

export type GatewayEffect =
  | {
      readonly kind: 'attempt.start';
      readonly attemptId: AttemptId;
      readonly requestId: RequestId;
      readonly endpoint: GatewayEndpoint;
      readonly team: string | undefined;
      /** Time that the endpoint has. */
      readonly timeoutMs: number;
      /** Time within which a connection must be there and the request written. */
      readonly connectTimeoutMs: number;
      /** 0 goes first; undefined leaves the order to the endpoint. */
      readonly priority: number | undefined;
      /** Replaces the caller's own. */
      readonly lastEventId: string | undefined;
      readonly helpers: readonly ReadHelper[];
      /** `recent`: a kept connection only if it was in use a moment ago. */
      readonly connection: 'kept' | 'recent';
      /** `whole`: the answer is held back until it is complete. */
      readonly delivery: 'whole' | 'events';
    }
  | { readonly kind: 'attempt.cancel'; readonly attemptId: AttemptId }
  /** Passes the answer's head on, and its body as it comes. */
  | {
      readonly kind: 'caller.relay';
      readonly requestId: RequestId;
      readonly attemptId: AttemptId;
    }
  /** Ends an answer that was passed on whole. */
  | { readonly kind: 'caller.finish'; readonly requestId: RequestId }
  /** Ends an answer visibly incomplete. */
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
  | {
      readonly kind: 'peers.send';
      readonly snapshot: WorkSnapshot;
      readonly peers: readonly NetworkAddress[];
    }
  | { readonly kind: 'callerLimits.changed'; readonly limits: CallerLimits }
  /** Kept connections to this endpoint are of no more use. */
  | { readonly kind: 'endpoint.forgotten'; readonly endpoint: EndpointId }
  | { readonly kind: 'readiness'; readonly ready: boolean }
  | { readonly kind: 'request.measured'; readonly measured: RequestMeasured }
  /** Takes no more connections; those in use go on. */
  | { readonly kind: 'callers.close' }
  /** Nothing is in flight any more, and the process may end. */
  | { readonly kind: 'drained' }
  | { readonly kind: 'log'; readonly event: LogEvent; readonly fields: LogFields };

/** How long reading a prompt takes, and what a stream of it weighs. */
export interface PromptCost {
  readonly readMs: number;
  readonly memoryTokens: number;
}

export type { Route };
