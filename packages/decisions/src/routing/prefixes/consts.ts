/** Blocks of prefixes that one entry VM remembers for all engines together. */
export const MAX_BLOCKS = 20_000;

/** Longest digest that is remembered, in characters; with the entries above it bounds the bytes. */
export const MAX_DIGEST_CHARACTERS = 64;

/** Engines that are considered for one request because they retain its prefix. */
export const MAX_HOLDERS = 8;

/** Weight of a new sample in the fractions that responses of engines correct. */
export const CONFIDENCE_SMOOTHING = 0.2;

/** The same for fractions over all requests of an entry VM. */
export const FLEET_SMOOTHING = 0.05;

/** Chance that the owner of an unknown prefix retains it, before any response says so. */
export const INITIAL_ASSUMED_FRACTION = 0.25;

/** Fraction of the expected tokens below which a response says that a prefix was not retained. */
export const MIN_CONFIRMED_FRACTION = 0.5;
