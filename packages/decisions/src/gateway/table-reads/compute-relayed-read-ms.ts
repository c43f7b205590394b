/** Ages and times of rows that a peer passed on, in milliseconds on the receiver's clock. */
export interface RelayedTimes {
  /** When the receiver asked the peer. */
  readonly askedAtMs: number;
  /** Age of what the peer passed on when it answered: since the peer's read of the store was sent. */
  readonly ageMs: number;
  /** Age from which rows are too old. */
  readonly maxAgeMs: number;
}

/**
 * Works out since when rows that a peer passed on are known to be current, as if the receiver had read the
 * store itself. The peer answered after it was asked, so its read was sent no earlier than its age before
 * the question. Only the receiver's clock and a duration of the peer's are used: a delay on the way, a
 * suspension of either process or a repeated answer can only make the rows look older than they are.
 *
 * @example
 * computeRelayedReadMs({ askedAtMs: 10_000, ageMs: 400, maxAgeMs: 1_000 }); // 9,600
 * computeRelayedReadMs({ askedAtMs: 10_000, ageMs: 1_400, maxAgeMs: 1_000 }); // undefined
 *
 * @returns the time at which a read of the store must have been sent to prove the same; undefined if the
 *   rows are too old
 */
export const computeRelayedReadMs = ({
  askedAtMs,
  ageMs,
  maxAgeMs,
}: RelayedTimes): number | undefined => (ageMs > maxAgeMs ? undefined : askedAtMs - ageMs);
