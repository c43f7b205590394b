/** Largest fleet in which every entry VM keeps a link to every other. */
export const FULL_MESH_LIMIT = 16;

/** Links between two failure domains of a fleet larger than `FULL_MESH_LIMIT`. */
export const LINKS_PER_DOMAIN_PAIR = 2;

/** Interval between heartbeats to the watchers of this entry VM, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Number of peers that receive heartbeats at the fast interval. */
export const WATCHER_COUNT = 4;

/** Every n-th round of heartbeats goes to all linked peers, not only to the watchers. */
export const HEARTBEATS_PER_SLOW_ROUND = 10;

/** Interval between heartbeats to linked peers that are not watchers, in milliseconds. */
export const SLOW_HEARTBEAT_INTERVAL_MS = HEARTBEAT_INTERVAL_MS * HEARTBEATS_PER_SLOW_ROUND;

/** Number of announced heartbeat intervals without a message after which a peer is suspected. */
export const MISSED_INTERVALS_BEFORE_SUSPICION = 3.5;

/** Time within which a peer has to answer a probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 1_500;

/** Delay of a timer above which this process is assumed to have been suspended, in milliseconds. */
export const PROCESS_PAUSE_THRESHOLD_MS = 1_000;

/** Shortest interval between reads of the platform's membership list, in milliseconds. */
export const MIN_LIST_POLL_INTERVAL_MS = 2_000;

/** Average bandwidth for reading the list, in bytes per second; a longer list is read less often. */
export const LIST_BYTES_PER_S = 300;

/** Estimated size of one entry of the platform's list, in bytes. */
export const LIST_ENTRY_BYTES = 100;

/** Largest relative deviation from the poll interval, so that polls are spread over time. */
export const JITTER_FRACTION = 0.25;

/** Time after which a member without a link that is no longer reported is removed, in ms. */
export const MEMBER_EXPIRY_MS = 300_000;

/** A list with fewer entries than this fraction of the known members expires no member. */
export const MIN_LIST_FRACTION = 0.5;

/** Number of removed members whose incarnation is remembered, so that old records are ignored. */
export const MAX_TOMBSTONES = 1_024;

/**
 * Shortest interval between two requests for all records, to any peer, that differing digests cause,
 * in milliseconds.
 */
export const SYNC_REQUEST_INTERVAL_MS = 10_000;

/** Time for which a peer counts as unreachable after a link could not be opened, in milliseconds. */
export const UNREACHABLE_EXPIRY_MS = 120_000;

/** Idle time after which a link that was opened on demand is closed, in milliseconds. */
export const ON_DEMAND_LINK_IDLE_MS = 30_000;

/** Number of messages that are queued until an on-demand link is open; further ones are dropped. */
export const MAX_QUEUED_MESSAGES = 64;

/** Time within which a link has to open, in milliseconds; after it the peer is unreachable. */
export const LINK_OPEN_TIMEOUT_MS = 3_000;

/** Largest number of other entry VMs in the member table. */
export const MAX_MEMBERS = 4_096;
