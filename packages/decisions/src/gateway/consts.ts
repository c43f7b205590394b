/** Safety margin of the credential lease, for clock differences and store responses in transit. */
export const LEASE_MARGIN_MS = 300;

/**
 * Delay from a change of the local work to its snapshot, so that one snapshot carries several
 * changes.
 */
export const SNAPSHOT_DELAY_MS = 1;

/** Interval at which an unchanged snapshot is sent again, because datagrams can be lost. */
export const SNAPSHOT_INTERVAL_MS = 250;

/**
 * Fleets of up to this many peers send each change to all of them; about as many entry VMs stand in one
 * failure domain of the largest planned fleet.
 */
export const MAX_FREQUENT_PEERS = 24;

/**
 * Most peers that get a periodic snapshot in one {@link SNAPSHOT_INTERVAL_MS}. In larger fleets each of
 * them gets one less often.
 */
export const MAX_PERIODIC_RECIPIENTS = 36;

/**
 * Most unchanged snapshots that an entry VM sends in a second to the peers that get each change. With more
 * peers each of them gets one less often.
 */
export const MAX_REPEATS_PER_S = 40;

/**
 * Most peers that are told at once of a long prompt. A snapshot to all of them takes the smallest links a
 * few ten milliseconds, which is short beside the prefill of such a prompt.
 */
export const MAX_URGENT_RECIPIENTS = 96;

/** A peer is inactive, and its work is not counted, after this time without a snapshot, in milliseconds. */
export const MIN_PEER_TIMEOUT_MS = 1_500;

/** The same in snapshot intervals of the peer, where they are long: two may be lost. */
export const PEER_TIMEOUT_INTERVALS = 3;

/** Headers of IPv4 and UDP, in bytes. */
export const DATAGRAM_HEADER_BYTES = 28;

/**
 * Size of the snapshot of an idle VM, in bytes: upper bound for the compact form and names of up to 24
 * characters.
 */
export const IDLE_SNAPSHOT_BYTES = 100;

/** Bytes that one observed limit adds to a snapshot: upper bound as for the work on an engine. */
export const LIMIT_OBSERVATION_BYTES = 57;

/** Bytes that one endpoint that leaves adds to a snapshot: upper bound as for the work on an engine. */
export const LEAVING_OBSERVATION_BYTES = 48;

/** Bytes that one suspect adds to a snapshot besides its name and its crashes: upper bound as above. */
export const HARM_OBSERVATION_BYTES = 24;

/** Bytes that one crash adds to a snapshot: upper bound as above. */
export const CRASH_OBSERVATION_BYTES = 25;

/** Most endpoints that leave in one snapshot; the newest ones are told. */
export const MAX_LEAVING_OBSERVATIONS = 32;

/** Bytes that the work on one engine adds to a snapshot: upper bound as above. */
export const ENGINE_WORK_BYTES = 45;

/**
 * Interval of the snapshots to an inactive peer, so that both detect when they can reach each other
 * again.
 */
export const INACTIVE_PEER_SNAPSHOT_INTERVAL_MS = 2 * SNAPSHOT_INTERVAL_MS;

/**
 * A failure domain counts as unreachable after this many of its snapshot intervals without a snapshot
 * or a response from it: two consecutive snapshots were lost.
 */
export const DOMAIN_TIMEOUT_INTERVALS = 2.5;

/**
 * After this time without a snapshot, the entry VMs of a domain may have been removed for good, and
 * missing snapshots no longer count as a sign of a partition. Longer than a restart, which takes
 * several seconds.
 */
export const MAX_PEER_ABSENCE_MS = 20_000;

/** Time for which a failing endpoint is ejected; doubles with each consecutive failure. */
export const FIRST_EJECTION_MS = 250;

/** Longest ejection: a recovered endpoint gets work again after this time at the latest. */
export const MAX_EJECTION_MS = 4_000;

/**
 * Number of entry VMs assumed to share a retry budget until the peers have been read from the
 * store.
 */
export const DEFAULT_ENTRY_VM_COUNT = 32;

/** Remaining time below which no attempt is started. */
export const MIN_ATTEMPT_MS = 20;

/** Time to connect to an endpoint before another one is tried. Covers several round trips. */
export const CONNECT_TIMEOUT_MS = 400;

/**
 * Fraction of the permitted pause between events that a placement may use; the rest absorbs work
 * that this entry VM does not know of yet.
 */
export const GAP_BUDGET_FRACTION = 0.85;

/**
 * Fraction of an engine's KV cache that placements may fill, because output lengths are estimates.
 */
export const MEMORY_BUDGET_FRACTION = 0.95;

/** Interval at which placement of the queued requests is tried again. */
export const PLACEMENT_RETRY_MS = 15;

/**
 * Most requests queued in one entry VM. Trying to place that many takes about one
 * {@link PLACEMENT_RETRY_MS} of processor time.
 */
export const MAX_QUEUED_REQUESTS = 256;

/** Most engines that one request may name as prefill helpers, by the contract of the engines. */
export const MAX_HELPERS = 16;
