import type { EntryVmId, MonotonicMs, RequestId, TeamId } from '@savorywind/model';

/** Order in which the coordinator of an engine grants queued slot requests. */
export type QueueOrder = 'firstCome' | 'shortestFirst' | 'earliestDeadline' | 'responseRatio';

/** Settings of the coordinated router. */
export interface CoordinatedPolicy {
  /** Whether light requests spend credits, or request each slot as heavy requests do. */
  readonly grants: 'credits' | 'single';
  /** Order of queued requests within the same urgency. */
  readonly order: QueueOrder;
  /**
   * Engine for a heavy request: the one with the least backlog, the first one with little backlog,
   * or one of a set of engines that is reserved for heavy requests.
   */
  readonly heavyPlacement: 'leastBacklog' | 'fillFirst' | 'split';
  /** Whether requests with the same prompt prefix prefer the same engine. */
  readonly affinity: 'none' | 'hash';
  /** Priority sent to the engine with a request: always 0, or by prompt length and fair share. */
  readonly enginePriority: 'none' | 'byLength';
  /** Whether requests are refused whose estimated finish is too close to their deadline. */
  readonly admission: 'byEstimate' | 'none';
  /** Whether teams over their fair share are served after other teams. */
  readonly fairness: 'byWeight' | 'none';
}

/** A slot request that waits for a grant. */
export interface QueuedRequest {
  readonly requestId: RequestId;
  readonly peer: EntryVmId;
  readonly team: TeamId;
  readonly isLight: boolean;
  /** KV cache tokens that the request may use. */
  readonly tokens: number;
  /** Estimated prefill time on an idle engine. */
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  /** When the peer last sent this slot request. */
  lastRequestedAtMs: MonotonicMs;
}

/** A granted slot that has not been released. */
export interface SlotGrant {
  readonly peer: EntryVmId;
  readonly tokens: number;
  readonly isLight: boolean;
  readonly prefillMs: number;
  /** Earliest time at which prefill can have started. */
  readonly startedAtMs: MonotonicMs;
  /** When the holder last reported that it uses the slot. */
  confirmedAtMs: MonotonicMs;
  isPrefilled: boolean;
}

/** What a peer reported about its light requests on an engine. */
export interface PeerUsage {
  lightBacklogMs: number;
  lightTokens: number;
  /** Light work that the peer places per round, exponentially smoothed. */
  demandMs: number;
  reportedAtMs: MonotonicMs;
}
