import type { GatewayContract } from '@savorywind/model';

/** Waits and pauses of the reads of one table of the store, in milliseconds. */
export interface ReadTiming {
  /** How long the store may hold a read until there is a change. */
  readonly longPollMs: number;
  /** Pause between reads that are answered at once; undefined for none. */
  readonly pollIntervalMs: number | undefined;
  /** Time within which the store answers, beside the time for which it may hold a read. */
  readonly responseTimeoutMs: number;
  /** Longest pause after a failed read. */
  readonly maxBackoffMs: number;
  /** Pause after a long poll that returned changes: those that follow are read together. */
  readonly changePauseMs: number;
  /** Age from which what a peer passes on of the table is too old. */
  readonly maxRelayedAgeMs: number;
}

/** Timing of what entry VMs that read the store pass on to others, in milliseconds. */
export interface RelayTiming {
  /** Interval at which an entry VM asks its source whether it knows all changes. */
  readonly askIntervalMs: number;
  /** Time for the answer of the source, and for the connection to it. */
  readonly answerTimeoutMs: number;
  /** Interval at which the source itself asks the store whether it knows the newest configuration. */
  readonly readIntervalMs: number;
}

/** Timing of the reads of both tables. */
export interface TableReadTimings {
  readonly configuration: ReadTiming;
  readonly endpoints: ReadTiming;
  readonly relay: RelayTiming;
}

/**
 * Credentials count as stale if no read of the configuration succeeds for their freshness; in that time
 * this many are made, and in the time in which an evacuation must be known, if that is less.
 */
const POLLS_PER_FRESHNESS_PERIOD = 3;

/** Length of a long poll for the configuration, in poll intervals: polls return changes as well. */
const POLLS_PER_LONG_POLL = 6;

/**
 * Fraction of the resynchronisation time for which the store may hold a read of the registrations. One that
 * is lost is noticed after it, and must be repeated within the rest.
 */
const LONG_POLL_FRACTION = 0.5;

/** Fraction of the resynchronisation time within which the store answers a read that it does not hold. */
const RESPONSE_TIMEOUT_FRACTION = 0.25;

/** Longest time for an answer of the store, however long the resynchronisation time is, in milliseconds. */
const MAX_RESPONSE_TIMEOUT_MS = 700;

/** Fraction of the resynchronisation time that a pause after a failed read may take. */
const BACKOFF_FRACTION = 0.125;

/** Longest pause after a failed read, however long the resynchronisation time is, in milliseconds. */
const MAX_BACKOFF_MS = 400;

/**
 * Fraction of the tightest bound on a change for which a table is not read after a change. Only a change that
 * follows another one so closely is known later by it.
 */
const CHANGE_PAUSE_FRACTION = 1 / 16;

/**
 * Fractions of the tightest bound on a change. A source that has stopped reading is noticed when what it
 * passes on is too old, at the next question; two sources that do not answer, and then a read of the store,
 * fit in the rest.
 */
const ASK_INTERVAL_FRACTION = 1 / 4;
const ANSWER_TIMEOUT_FRACTION = 1 / 10;
const MAX_AGE_FRACTION = 0.4;
const READ_INTERVAL_FRACTION = 1 / 4;

const findTightestBoundMs = ({
  credentialFreshnessMs,
  leavingNoticeMs,
  applyMs,
  resyncMs,
  evacuationMs = Number.POSITIVE_INFINITY,
}: GatewayContract): number =>
  Math.min(credentialFreshnessMs, leavingNoticeMs, applyMs, resyncMs, evacuationMs);

/**
 * Derives the waits of the reads of the store from the contract, so that a read that is lost in a
 * disturbance is noticed and repeated within the time by which this VM must act on the current state again.
 *
 * @example
 * computeReadTimings(contract).endpoints.longPollMs; // 1,500 for a notice of 2,000 and a resync of 3,000
 */
export const computeReadTimings = (contract: GatewayContract): TableReadTimings => {
  const { credentialFreshnessMs, leavingNoticeMs, resyncMs } = contract;
  const { evacuationMs = Number.POSITIVE_INFINITY } = contract;
  const responseTimeoutMs = Math.min(MAX_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_FRACTION * resyncMs);
  const maxBackoffMs = Math.min(MAX_BACKOFF_MS, BACKOFF_FRACTION * resyncMs);
  const boundMs = findTightestBoundMs(contract);
  const changePauseMs = Math.floor(CHANGE_PAUSE_FRACTION * boundMs);
  const longPollMs = Math.floor(Math.min(leavingNoticeMs, LONG_POLL_FRACTION * resyncMs));
  const pollIntervalMs = Math.floor(
    Math.min(
      Math.min(credentialFreshnessMs, evacuationMs) / POLLS_PER_FRESHNESS_PERIOD,
      LONG_POLL_FRACTION * resyncMs,
    ),
  );
  return {
    configuration: {
      longPollMs: POLLS_PER_LONG_POLL * pollIntervalMs,
      pollIntervalMs,
      responseTimeoutMs,
      maxBackoffMs,
      changePauseMs,
      maxRelayedAgeMs: MAX_AGE_FRACTION * boundMs,
    },
    endpoints: {
      longPollMs,
      pollIntervalMs: undefined,
      responseTimeoutMs,
      maxBackoffMs,
      changePauseMs,
      // Answered before the next long poll ends. That the source still reads shows in the configuration.
      maxRelayedAgeMs: 2 * longPollMs + changePauseMs + responseTimeoutMs,
    },
    relay: {
      askIntervalMs: ASK_INTERVAL_FRACTION * boundMs,
      answerTimeoutMs: ANSWER_TIMEOUT_FRACTION * boundMs,
      readIntervalMs: READ_INTERVAL_FRACTION * boundMs,
    },
  };
};
