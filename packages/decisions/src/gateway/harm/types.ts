import type { MonotonicMs } from '@savorywind/model';

/** Something that requests may have in common. */
export interface CommonFeature {
  /** Names the service and, for a part, the model, for operators too. */
  readonly key: string;
  /** Position of the part in the prompt. Deeper features are common to fewer requests. */
  readonly depth: number;
}

/** The loss of an endpoint process under requests that no answer has proved sound. */
export interface Crash {
  readonly atMs: MonotonicMs;
  /** Time from the start of the attempt to the loss, in milliseconds. */
  readonly tookMs: number;
  /** Hash of the fingerprint of one of the requests. */
  readonly request: number;
}

/**
 * A common feature of requests under which endpoints were lost. What is known of it is evidence for harm
 * (endpoints that were lost before, or shortly after, they had begun to answer a request with it) and against
 * (answers with it that were complete since, or have gone on for long).
 */
export interface Suspect extends CommonFeature {
  /** The losses of endpoint processes, by the hash of their identity. */
  readonly crashes: Map<number, Crash>;
  /**
   * When an answer last proved it sound, here or at a peer; negative infinity if none is known. Earlier builds
   * tell when one last began.
   */
  begunAtMs: MonotonicMs;
  /** The same for answers of this entry VM, which alone are told to peers. */
  ownBegunAtMs: MonotonicMs;
  /** When a request with it was last let through as a trial, here or at a peer. */
  triedAtMs: MonotonicMs;
  /** The same for trials of this entry VM. */
  ownTriedAtMs: MonotonicMs;
  /** When the evidence last changed. */
  changedAtMs: MonotonicMs;
}

/** A suspect whose requests are refused. */
export interface BlockedSuspect {
  readonly suspect: Suspect;
  /** Crashes that count: those independent of each other, or the ends of engines. */
  readonly crashes: number;
  /** When a request may be let through as a trial. */
  readonly trialMs: MonotonicMs;
}

/** Whether a request may be sent; `wait`: it may get the trial of a blocked suspect soon. */
export type RunDecision = 'run' | 'wait' | 'refuse';

/** A blocked suspect as operators see it. */
export interface BlockedUsage {
  readonly suspect: string;
  /** Time since this entry VM has blocked it, in milliseconds. */
  readonly blockedForMs: number;
}

/** What metrics show of requests that crash engines. */
export interface HarmUsage {
  readonly suspects: number;
  /** In the order in which they were blocked. */
  readonly blocked: readonly BlockedUsage[];
  /** Engine processes that this entry VM saw end under requests that no answer had proved sound. */
  readonly crashes: number;
  readonly refused: number;
  readonly trials: number;
}
