/** Up to this size of the fleet every entry VM has a link to every other. */
export const FULL_MESH_LIMIT = 16;

/** Links between two failure domains of a larger fleet. */
export const LINKS_PER_DOMAIN_PAIR = 2;

/** Pause between heartbeats to the peers that watch this entry VM, in milliseconds. */
export const HEARTBEAT_MS = 1_000;

/** Peers that get a heartbeat at that pace. */
export const WATCHERS = 4;

/** Every so many heartbeats all other linked peers get one too. */
export const HEARTBEATS_PER_SLOW_ROUND = 10;

/** Pause between heartbeats to all other linked peers, in milliseconds. */
export const SLOW_HEARTBEAT_MS = HEARTBEAT_MS * HEARTBEATS_PER_SLOW_ROUND;

/** A peer is suspected after so many of its promised intervals without a message. */
export const MISSED_INTERVALS = 3.5;

/** Time for the answer to a probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 1_500;

/** A timer that is later than this shows that this process was paused, in milliseconds. */
export const PAUSE_TOLERANCE_MS = 1_000;

/** Shortest pause between reads of the platform's list, in milliseconds. */
export const LIST_POLL_MS = 2_000;

/** Bytes a second that reading the list may take; a longer list is read less often. */
export const LIST_BYTES_PER_S = 300;

/** Size of one entry of the platform's list, in bytes. */
export const LIST_ENTRY_BYTES = 100;

/** Reads follow one another by the pause, less or more this share, so that they spread. */
export const JITTER_SHARE = 0.25;

/** An entry VM that no list and no link speaks of is forgotten after so long, in milliseconds. */
export const FORGET_MS = 300_000;

/** A list with fewer entries than this share of the known members makes nobody forgotten. */
export const MIN_LIST_SHARE = 0.5;

/** Forgotten incarnations that are remembered, so that old news does not bring them back. */
export const MAX_FORGOTTEN = 1_024;

/** Pause between two requests for all facts, in milliseconds. */
export const FACTS_ASK_MS = 10_000;

/** A peer to which no link could be opened is left out of the plan for so long, in milliseconds. */
export const UNREACHABLE_MS = 120_000;

/** A link that was opened for messages to one peer is closed when none went for so long. */
export const DEMAND_LINK_IDLE_MS = 30_000;

/** Messages that wait for such a link. */
export const MAX_WAITING_MESSAGES = 64;

/** A link that is not open after so long counts as impossible, in milliseconds. */
export const LINK_WAIT_MS = 3_000;

/** Largest number of members that an entry VM keeps. */
export const MAX_MEMBERS = 4_096;
