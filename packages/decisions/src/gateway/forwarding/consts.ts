/** Most peers to which one request is forwarded. */
export const MAX_FORWARDS = 3;

/** Endpoints that can't be connected to for one request after which it is forwarded. */
export const CONNECT_FAILURES_BEFORE_FORWARDING = 2;

/** A peer that can't be connected to gets no request for this time, in milliseconds. */
export const UNREACHABLE_PEER_MS = 1_000;

/**
 * Peers of other failure domains are preferred to those of the own one if they have this many requests
 * fewer, as bytes between domains cost more.
 */
export const LOCAL_PREFERENCE_REQUESTS = 12;

/** Most requests of peers that are open at once in one entry VM; its own callers come first. */
export const MAX_RECEIVED_REQUESTS = 256;

/** Time for which the peers that accept requests are listed, in milliseconds. */
export const CANDIDATES_AGE_MS = 50;

/**
 * Added to the stall timeout of a forwarded attempt, in milliseconds: the peer that knows the endpoint
 * notices first.
 */
export const FORWARDED_STALL_MARGIN_MS = 150;

/** Time for withdrawn attempts to be placed again, in milliseconds, before silent ones are retried. */
export const WITHDRAWAL_MS = 20;
