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
  ChangeAsk,
  ChangeOutcome,
  HistoryOutcome,
  VersionOutcome,
  VmVersion,
} from '../configuration/types.js';
import type { LeaseView, OrderedPlacement } from '../orders/types.js';

/** How an attempt at an endpoint broke off. Decides whether the call may have run. */
export type AttemptFailure =
  /** No byte of the request left this process. */
  | 'notSent'
  /** The endpoint answered that it did not run the call. */
  | 'rejected'
  /** The connection was lost, or the answer ended early, after bytes had left. */
  | 'broken'
  /** The endpoint's answer breaks its protocol, or belongs to another stream. */
  | 'invalid';

/** Status and headers of a plain service's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
}

/** Part of an answer: text of generated tokens, or bytes of a plain service's body. */
export type ChunkData = string | Uint8Array;

export interface AnswerUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

export type FinishReason = 'stop' | 'length' | 'complete';

/** What an engine can be asked outside of a request. Extended per topic. */
export type EngineCall =
  | { readonly kind: 'streams.list' }
  | { readonly kind: 'stream.cancel'; readonly streamId: string }
  | { readonly kind: 'load.read' }
  /** What the engine serves, what it is loading, and the highest fencing number it has seen. */
  | { readonly kind: 'placement.read' }
  | {
      readonly kind: 'order.give';
      readonly fencing: number;
      readonly placement: OrderedPlacement;
      /** An order that has not left the process by then is not sent, and reported as `unsent`. */
      readonly sendBeforeMs: MonotonicMs;
    };

/** One stream that an engine holds memory for. */
export interface EngineStream {
  readonly streamId: string;
  readonly memoryTokens: number;
  /** Whether a reader is connected to the stream. */
  readonly attached: boolean;
  readonly ageMs: number;
}

export interface EngineLoad {
  readonly usedMemoryTokens: number;
  readonly runningStreams: number;
  readonly queuedPromptTokens: number;
}

export type EngineReply =
  | { readonly kind: 'streams'; readonly streams: readonly EngineStream[] }
  | { readonly kind: 'done' }
  | {
      readonly kind: 'placement';
      readonly placement: OrderedPlacement;
      readonly loading: OrderedPlacement | undefined;
      /** Undefined where the engine does not check fencing numbers. */
      readonly fencing: number | undefined;
    }
  | { readonly kind: 'load'; readonly load: EngineLoad };

/** `unsent` had certainly no effect, `unanswered` may have had one, `refused` is the engine's no. */
export type EngineCallFailure = 'unsent' | 'unanswered' | 'refused';

/** All that can happen to an entry VM's decisions. */
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
      /** Position of the chunk's first token or byte in the whole answer. */
      readonly offset: number;
      /** Tokens or bytes in the chunk. */
      readonly count: number;
      readonly data: ChunkData;
    }
  | {
      readonly kind: 'attempt.ended';
      readonly attemptId: AttemptId;
      /** Tokens or bytes of the whole answer. */
      readonly total: number;
      readonly reason: FinishReason;
      readonly usage: AnswerUsage | undefined;
    }
  | {
      readonly kind: 'attempt.failed';
      readonly attemptId: AttemptId;
      readonly failure: AttemptFailure;
    }
  /** An operator asks for a change; answered by one `operator.reply`. */
  | ({ readonly kind: 'operator.change' } & ChangeAsk)
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

/** All that decisions can ask of the program around them. */
export type NodeEffect =
  | {
      readonly kind: 'attempt.start';
      readonly attemptId: AttemptId;
      readonly requestId: RequestId;
      readonly endpoint: Endpoint;
      /** Names the answer at the engine; stays the same when a broken stream is resumed. */
      readonly streamId: string;
      readonly mode: 'new' | 'resume';
      /** First token or byte wanted. */
      readonly offset: number;
      /** Higher goes first at the engine. */
      readonly priority: number;
      readonly timeoutMs: number;
      /** The driver sends no byte from this time on, also after a pause, and reports `notSent`. */
      readonly deadlineMs: MonotonicMs;
      /** A fresh connection makes a failure to connect a proof that nothing was sent. */
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
  /** The final answer of a request that failed; an error event where the head has gone out. */
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

/** What the balancer is told. `drained`: nothing is in flight and the process may stop. */
export type Readiness = 'starting' | 'ready' | 'leaving' | 'drained';

/** What operators see of a request in flight. */
export interface RequestView {
  readonly requestId: RequestId;
  readonly team: string;
  readonly target: string;
  readonly state: string;
  readonly endpoint: EndpointId | undefined;
  readonly ageMs: number;
  readonly timeoutMs: number;
}

/** What operators see of an entry VM. */
export interface NodeStatus {
  readonly vm: EntryVm;
  readonly readiness: Readiness;
  readonly configurationVersion: number;
  /** Time since the platform last confirmed the version in force. */
  readonly configurationAgeMs: number | undefined;
  /** Which version each live entry VM has, as far as this one was told. */
  readonly configurationVersions: readonly VmVersion[];
  /** Whether it gives the orders in its failure domain. */
  readonly orderLease: LeaseView;
  readonly requests: readonly RequestView[];
}
