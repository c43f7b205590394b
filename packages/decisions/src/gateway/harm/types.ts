import type { MonotonicMs } from '@savorywind/model';

/**
 * Something that requests have in common, under which engines were lost: a part of their prompts. What is
 * known of it is evidence for harm (engines that were lost before they had begun to answer a request with
 * it) and against (answers with it that have begun since).
 */
export interface Suspect {
  /** Names the service, the model and the part, for operators too. */
  readonly key: string;
  /** Position of the part in the prompt. Later parts are common to fewer requests. */
  readonly depth: number;
  /** When each engine process was lost, by the hash of its identity. */
  readonly crashes: Map<number, MonotonicMs>;
  /** When an answer with it last began, here or at a peer; negative infinity if none is known. */
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
  /** Crashes that count as independent of each other. */
  readonly crashes: number;
  /** When a request may be let through as a trial. */
  readonly trialMs: MonotonicMs;
}

/** What metrics show of requests that crash engines. */
export interface HarmUsage {
  readonly suspects: number;
  readonly blocked: number;
  /** Engine processes that this entry VM saw end under unanswered requests. */
  readonly crashes: number;
  readonly refused: number;
  readonly trials: number;
}
