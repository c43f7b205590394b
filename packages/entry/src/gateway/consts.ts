/**
 * Longest time that is told apart, in milliseconds: a day. Nobody waits longer for an answer, and timers
 * hold several times as much; they fire at once with what they can't hold.
 */
export const MAX_TIME_MS = 86_400_000;

/** Largest port of a socket. */
export const MAX_PORT = 65_535;

/** Longest name or id in messages between entry VMs, in characters. */
export const MAX_NAME_LENGTH = 255;
