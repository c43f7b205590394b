import type {
  AttemptId,
  Configuration,
  Endpoint,
  EndpointId,
  Engine,
  EntryVm,
  EntryVmId,
  LinkMessage,
  LogEvent,
  LogFields,
  MonotonicMs,
  PlatformCall,
  PlatformFailure,
  PlatformReply,
  Refusal,
  RequestContract,
  RequestId,
  Result,
} from '@savorywind/model';

import type {
  ChangeRequest,
  ChangeOutcome,
  HistoryOutcome,
  VersionOutcome,
  VmVersion,
} from '../configuration/types.js';
import type { LeaseView, OrderedPlacement } from '../orders/types.js';

/** Why an attempt at an endpoint failed. It determines whether the call may have run. */
export type AttemptFailure =
  /** No byte of the request left this process. */
  | 'notSent'
  /** The endpoint reported that it did not run the call. */
  | 'rejected'
  /** The connection was lost or the answer was incomplete after bytes had been sent. */
  | 'broken'
  /** The answer violates the protocol or belongs to another stream. */
  | 'invalid';

/** Status and headers of a plain service's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
}

/** Part of an answer: text of generated tokens, or bytes of the body of a plain service. */
export type ChunkData = string | Uint8Array;

/** Token counts of one answer. */
export interface AnswerUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that the engine did not read again; absent if it does not say. */
  readonly cachedTokens?: number;
}

/** Why an answer ended: `stop` or `length` for engines, `complete` for plain services. */
export type FinishReason = 'stop' | 'length' | 'complete';

/** Calls to an engine that do not belong to a request. */
export type EngineCall =
  | { readonly kind: 'streams.list' }
  | { readonly kind: 'stream.cancel'; readonly streamId: string }
  | { readonly kind: 'load.read' }
  /** Reads what the engine serves and loads, and the highest fencing number that it has seen. */
  | { readonly kind: 'placement.read' }
  | {
      readonly kind: 'order.give';
      readonly fencing: number;
      readonly placement: OrderedPlacement;
      /** An order that has not been sent by this time is dropped and reported as `unsent`. */
      readonly sendBeforeMs: MonotonicMs;
    };

/** One stream that occupies KV cache on an engine. */
export interface EngineStream {
  readonly streamId: string;
  readonly memoryTokens: number;
  /** Whether a reader is connected to the stream. */
  readonly attached: boolean;
  readonly ageMs: number;
}

/** Load of one engine, as reported by it. */
export interface EngineLoad {
  readonly usedMemoryTokens: number;
  readonly runningStreams: number;
  readonly queuedPromptTokens: number;
}

/** Replies to `EngineCall`; `done` confirms a call that reads nothing. */
export type EngineReply =
  | { readonly kind: 'streams'; readonly streams: readonly EngineStream[] }
  | { readonly kind: 'done' }
  | {
      readonly kind: 'placement';
      readonly placement: OrderedPlacement;
      readonly loading: OrderedPlacement | undefined;
      /** Highest fencing number seen; undefined if the engine does not check fencing numbers. */
      readonly fencing: number | undefined;
    }
  | { readonly kind: 'load'; readonly load: EngineLoad };

/**
 * Why a call to an engine failed. `unsent`: it certainly had no effect. `unanswered`: it may have had
 * an effect. `refused`: the engine rejected it.
 */
export type EngineCallFailure = 'unsent' | 'unanswered' | 'refused';

/** Input events of an entry node. */
export type NodeEvent =
  | { readonly kind: 'started' }
  | { readonly kind: 'woken' }
  | { readonly kind: 'drainRequested' }
  | { readonly kind: 'request.arrived'; readonly contract: RequestContract }
  | { readonly kind: 'request.abandoned'; readonly requestId: RequestId }
  | {
      readonly kind: 'attempt.headReceived';
      readonly attemptId: AttemptId;
      readonly head: AnswerHead | undefined;
    }
  | {
      readonly kind: 'attempt.chunkReceived';
      readonly attemptId: AttemptId;
      /** Position of the first token or byte of the chunk in the complete answer. */
      readonly offset: number;
      /** Number of tokens or bytes in the chunk. */
      readonly count: number;
      readonly data: ChunkData;
    }
  | {
      readonly kind: 'attempt.ended';
      readonly attemptId: AttemptId;
      /** Number of tokens or bytes in the complete answer. */
      readonly total: number;
      readonly reason: FinishReason;
      readonly usage: AnswerUsage | undefined;
    }
  | {
      readonly kind: 'attempt.failed';
      readonly attemptId: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** Submits a configuration change; answered by exactly one `operator.reply`. */
  | ({ readonly kind: 'operator.change' } & ChangeRequest)
  | { readonly kind: 'operator.readHistory'; readonly askId: string; readonly limit: number }
  | { readonly kind: 'operator.readVersion'; readonly askId: string; readonly version: number }
  | { readonly kind: 'link.opened'; readonly peer: EntryVmId }
  | { readonly kind: 'link.closed'; readonly peer: EntryVmId }
  | { readonly kind: 'link.received'; readonly peer: EntryVmId; readonly message: LinkMessage }
  | {
      readonly kind: 'platform.replied';
      readonly callId: number;
      readonly reply: Result<PlatformReply, PlatformFailure>;
    }
  | {
      readonly kind: 'engine.replied';
      readonly callId: number;
      readonly reply: Result<EngineReply, EngineCallFailure>;
    };

/** Effects that an entry node emits; the driver carries them out. */
export type NodeEffect =
  | {
      readonly kind: 'attempt.start';
      readonly attemptId: AttemptId;
      readonly requestId: RequestId;
      readonly endpoint: Endpoint;
      /** Id of the answer at the engine; unchanged when an interrupted stream is resumed. */
      readonly streamId: string;
      readonly mode: 'new' | 'resume';
      /** Position of the first requested token or byte. */
      readonly offset: number;
      /** Priority at the engine; higher values run first. */
      readonly priority: number;
      readonly timeoutMs: number;
      /**
       * The driver sends no byte after this time, even if the process was suspended meanwhile, and
       * reports `notSent`.
       */
      readonly deadlineMs: MonotonicMs;
      /** With a fresh connection, a failure to connect proves that nothing was sent. */
      readonly connection: 'pooled' | 'fresh';
    }
  | { readonly kind: 'attempt.cancel'; readonly attemptId: AttemptId }
  | {
      readonly kind: 'caller.sendHead';
      readonly requestId: RequestId;
      readonly head: AnswerHead | undefined;
    }
  | {
      readonly kind: 'caller.sendChunk';
      readonly requestId: RequestId;
      readonly count: number;
      readonly data: ChunkData;
    }
  | {
      readonly kind: 'caller.finish';
      readonly requestId: RequestId;
      readonly reason: FinishReason;
      readonly usage: AnswerUsage | undefined;
    }
  /** Sends the error response of a failed request, or an error event if the head was already sent. */
  | { readonly kind: 'caller.refuse'; readonly requestId: RequestId; readonly refusal: Refusal }
  | { readonly kind: 'link.open'; readonly vm: EntryVm }
  | { readonly kind: 'link.close'; readonly peer: EntryVmId }
  | { readonly kind: 'link.send'; readonly peer: EntryVmId; readonly message: LinkMessage }
  | { readonly kind: 'platform.call'; readonly callId: number; readonly call: PlatformCall }
  | {
      readonly kind: 'engine.call';
      readonly callId: number;
      readonly engine: Engine;
      readonly call: EngineCall;
    }
  | {
      readonly kind: 'configuration.adopted';
      readonly version: number;
      readonly configuration: Configuration;
    }
  | {
      readonly kind: 'operator.reply';
      readonly changeId: string;
      readonly outcome: ChangeOutcome;
    }
  | { readonly kind: 'operator.history'; readonly askId: string; readonly outcome: HistoryOutcome }
  | { readonly kind: 'operator.version'; readonly askId: string; readonly outcome: VersionOutcome }
  | { readonly kind: 'readiness'; readonly state: Readiness }
  | { readonly kind: 'log'; readonly event: LogEvent; readonly fields: LogFields };

/** Readiness reported to the load balancer. `drained`: nothing is in flight, the process may stop. */
export type Readiness = 'starting' | 'ready' | 'leaving' | 'drained';

/** State of a request in flight, as shown to operators. */
export interface RequestView {
  readonly requestId: RequestId;
  readonly team: string;
  readonly target: string;
  readonly state: string;
  readonly endpoint: EndpointId | undefined;
  readonly ageMs: number;
  readonly timeoutMs: number;
}

/** State of an entry VM, as shown to operators. */
export interface NodeStatus {
  readonly vm: EntryVm;
  readonly readiness: Readiness;
  readonly configurationVersion: number;
  /** Time since the platform last confirmed the version in force. */
  readonly configurationAgeMs: number | undefined;
  /** Last known configuration version of each live entry VM. */
  readonly configurationVersions: readonly VmVersion[];
  /** Whether this entry VM holds the lease for orders in its failure domain. */
  readonly orderLease: LeaseView;
  readonly requests: readonly RequestView[];
}
