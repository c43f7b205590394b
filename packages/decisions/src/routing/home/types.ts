import type { EntryVmId, MonotonicMs, RequestId, TeamId } from '@savorywind/model';

/** Order in which the home of an engine grants to those that wait. */
export type QueueOrder = 'firstCome' | 'shortestFirst' | 'earliestDeadline' | 'responseRatio';

/** How a policy of the home router behaves. */
export interface HomePolicy {
  /** Whether light requests spend credits, or ask for each slot as the heavy ones do. */
  readonly grants: 'credits' | 'single';
  readonly order: QueueOrder;
  /** Which engine a heavy request asks for. */
  readonly heavyPlacement: 'leastBacklog' | 'fillFirst' | 'split';
  readonly affinity: 'none' | 'hash';
  readonly enginePriority: 'none' | 'byLength';
  readonly admission: 'byEstimate' | 'none';
  readonly fairness: 'byWeight' | 'none';
}

/** An ask that waits for a grant. */
export interface QueuedAsk {
  readonly requestId: RequestId;
  readonly peer: EntryVmId;
  readonly team: TeamId;
  readonly light: boolean;
  readonly tokens: number;
  readonly workMs: number;
  readonly decodeMs: number;
  readonly arrivedAtMs: MonotonicMs;
  readonly deadlineMs: MonotonicMs;
  refreshedAtMs: MonotonicMs;
}

/** A grant that its holder has not given back. */
export interface Hold {
  readonly peer: EntryVmId;
  readonly tokens: number;
  readonly light: boolean;
  readonly workMs: number;
  /** When its prefill may have begun. */
  readonly startedAtMs: MonotonicMs;
  confirmedAtMs: MonotonicMs;
  prefilled: boolean;
}

/** What a peer told of its light requests at an engine. */
export interface PeerUsage {
  lightBacklogMs: number;
  lightTokens: number;
  /** Light work placed a round, smoothed. */
  demandMs: number;
  toldAtMs: MonotonicMs;
}
