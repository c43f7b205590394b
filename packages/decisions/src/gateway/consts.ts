/** Margin of the credential lease for differences between clocks and answers on their way. */
export const LEASE_MARGIN_MS = 300;

/** Peers hear of changed work this long after it changed, so that changes travel together. */
export const SNAPSHOT_DELAY_MS = 1;

/** A snapshot is repeated after this time, as datagrams get lost. */
export const SNAPSHOT_REPEAT_MS = 250;

/** Work of a peer that has been silent for several repeats is no longer counted. */
export const PEER_SILENCE_MS = 6 * SNAPSHOT_REPEAT_MS;

/** A silent peer gets one snapshot in this time, to find out whether it is back. */
export const SILENT_PEER_REPEAT_MS = 2 * SNAPSHOT_REPEAT_MS;

/** Silence of all entry VMs of a failure domain after which it counts as cut off: two repeats lost. */
export const DOMAIN_SILENCE_MS = 2.5 * SNAPSHOT_REPEAT_MS;

/** Entry VMs that are silent for so long may be gone for good; a restart takes some seconds. */
export const PEERS_GONE_MS = 20_000;

/** An endpoint that failed an attempt gets no new work for this time, doubled at each failure. */
export const FIRST_EXCLUSION_MS = 250;

/** Upper bound of the exclusion: an endpoint that is well again gets work after this time. */
export const MAX_EXCLUSION_MS = 4_000;

/** Entry VMs that are assumed to share a budget until the store has said how many there are. */
export const ASSUMED_PEERS = 32;

/** Shortest time in which an attempt at an endpoint can make sense. */
export const MIN_ATTEMPT_MS = 20;

/** A connection that is not there after this time is tried elsewhere; several round trips. */
export const CONNECT_TIMEOUT_MS = 400;

/** Share of the permitted pause that a placement may fill; the rest is for what was not foreseen. */
export const GAP_HEADROOM = 0.85;

/** Share of an engine's memory that placements may fill; estimates of outputs are rough. */
export const MEMORY_HEADROOM = 0.95;

/** A request that waits for an engine is tried again after this time at the latest. */
export const PLACE_AGAIN_MS = 15;

/** Requests that wait in one entry VM; trying to place them all takes about one `PLACE_AGAIN_MS`. */
export const MAX_WAITING = 256;

/** Engines that one request may list as helpers (contract of the engines). */
export const MAX_HELPERS = 16;
