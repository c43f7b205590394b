import type { SnapshotFrequency } from '../peer-table.js';

/**
 * Independent crashes without an answer in between from which requests with a suspect are refused. The users
 * permit the third crash under one request, and the fifth under one part, before they count.
 */
export const MIN_CRASHES = 3;

/**
 * Ends of engines from which requests with a suspect are refused also if the engines ended at fewer moments:
 * under one part of prompts, and under one request. From so many on, the users permit only a few more requests.
 */
export const MIN_ENDS = { part: 5, request: 3 } as const;

/**
 * Least share of the engine processes lost at the same moments that must have ended under a suspect for their
 * number to count. Of what all of them had, as in a cut, the rarer suspects are only at some.
 */
export const MIN_ENDS_SHARE = 2 / 3;

/** Time from a crash until all entry VMs refuse what it blocks, in milliseconds. */
export const BLOCK_KNOWN_MS = 500;

/** Most engine processes that are remembered as lost. */
export const MAX_LOST_PROCESSES = 1_024;

/**
 * A lost attempt is evidence of a crash only if the engine sends this entry VM nothing for this long, in
 * milliseconds. Data that was on the way arrives well within it.
 */
export const CRASH_CONFIRMATION_MS = 100;

/**
 * Time from the first event of an answer after which another event proves its request sound, in milliseconds.
 * An engine that crashes because of what it writes does so well within it.
 */
export const SOUND_AFTER_MS = 1_000;

/**
 * By how much the times of two losses that peers told may be off against each other, in milliseconds: the
 * delay of a datagram and of the process that reads it.
 */
export const TIME_TOLERANCE_MS = 20;

/** A proof this shortly before a crash still contradicts it: what peers tell is this late, in milliseconds. */
export const TOLD_DELAY_MS = 50;

/**
 * Time from the last crash or trial of a blocked suspect to the next trial, in milliseconds: a sound request
 * that is blocked by mistake is refused for about this long.
 */
export const FIRST_TRIAL_DELAY_MS = 1_000;

/**
 * Factor by which each further crash delays the next trial. A suspect that does harm gets a trial 1 s after
 * the third crash, then after 15 s, 4 minutes and one hour: three from 3 s after the third crash within an
 * hour, which is what the users permit.
 */
export const TRIAL_DELAY_FACTOR = 15;

export const MAX_TRIAL_DELAY_MS = 3_600_000;

/**
 * Length of an entry VM's turn for a trial, in milliseconds: the word of a trial reaches the next one before
 * its turn, so that seldom two are sent, also where requests come to several at the same moment.
 */
export const TRIAL_TURN_MS = 50;

/** Time by which the entry VMs' turns are apart where some get snapshots only now and then, in milliseconds. */
export const LARGE_FLEET_TURN_MS = 500;

/** Longest time for which a request waits for the turn of its entry VM, in milliseconds. */
export const MAX_TRIAL_WAIT_MS = 500;

/** Time for which crashes are remembered as long as the suspect is not blocked, in milliseconds. */
export const SUSPICION_MEMORY_MS = 600_000;

/**
 * Time for which a suspect is kept that an answer has acquitted, in milliseconds, so that crashes from before
 * it that peers still tell of are recognised. Several snapshots of each peer arrive in it.
 */
export const ACQUITTAL_MEMORY_MS = 10_000;

/** Time after the last crash or trial for which a suspect stays blocked, in milliseconds. */
export const BLOCK_MEMORY_MS = 2 * MAX_TRIAL_DELAY_MS;

/**
 * Most shared parts of a prompt, which are all told apart: a part that isn't could do harm unseen. Prompts
 * consist of a few parts. Requests with more are refused.
 */
export const MAX_SHARED_PARTS = 256;

/**
 * Most suspects: those of a few lost prompts with as many parts as are permitted. Those with the fewest crashes
 * are dropped first, of them the oldest.
 */
export const MAX_SUSPECTS = 4 * MAX_SHARED_PARTS;

/** Most crashes kept of one suspect. */
export const MAX_CRASHES = 12;

/** Parts whose last answer is remembered; the one that was used the longest time ago is dropped first. */
export const MAX_REMEMBERED_PARTS = 4_096;

/**
 * Time for which changed evidence is in each snapshot, so that lost datagrams don't matter, in milliseconds.
 * Peers that get snapshots at intervals get several of them in it, also in the largest planned fleet.
 */
export const CHANGE_REPORT_MS: Readonly<Record<SnapshotFrequency, number>> = {
  frequent: 2_000,
  periodic: 10_000,
};

/** Interval at which blocked suspects are told again, for entry VMs that have started, in milliseconds. */
export const BLOCK_REPORT_INTERVAL_MS = 1_000;

/** Most suspects in one snapshot. Where there are more, the next snapshots tell the others. */
export const MAX_TOLD_SUSPECTS = 12;

/** Depth of a request as a whole, which is deeper than all parts of its prompt. */
export const REQUEST_DEPTH = 1_000;

/**
 * Different requests under which engines have to be lost for a part that they share to be blamed. With one
 * alone, the request itself is.
 */
export const MIN_REQUESTS_OF_PART = 2;

/** Longest name of a service or model in the key of a suspect, in characters; longer ones are hashed. */
export const MAX_NAME_LENGTH = 64;
