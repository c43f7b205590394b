import type { MonotonicMs } from '@savorywind/model';

/**
 * Age up to which the word of a peer still covers the present, in milliseconds. Registrations expire only
 * after an outage of several of their renewals, which is longer.
 */
const MAX_WORD_AGE_MS = 1_000;

/**
 * Tells an outage of the store from one in which only this entry VM was cut off, by what the peers say:
 * one that the store has answered all the while was not in an outage.
 *
 * A failed read says only that the store did not answer after the read was sent. One that left before a
 * read that was answered says nothing of the present.
 *
 * @example
 * contact.recordAnswer(0);
 * contact.recordFailure(1_000); // true: the store is unavailable
 * contact.recordPeer(9_000, 9_500); // a peer had contact for the last 9 s
 * contact.recordAnswer(9_400); // regained
 * contact.mayHaveBeenAway(9_500); // false
 */
export class StoreContact {
  /** When the newest read that was answered was sent. */
  private answeredAtMs: MonotonicMs | undefined;

  /** When the newest read that was answered before the outage was sent. */
  private lostAtMs: MonotonicMs | undefined;

  /** Since when the store has answered without an outage. */
  private availableSinceMs: MonotonicMs | undefined;

  /** Until when a peer has had contact since before the last outage of this entry VM. */
  private peerContactUntilMs: MonotonicMs | undefined;

  private unavailable = false;

  get isUnavailable(): boolean {
    return this.unavailable;
  }

  /** @returns whether this ends an outage */
  recordAnswer(requestedAtMs: MonotonicMs): boolean {
    this.answeredAtMs = Math.max(this.answeredAtMs ?? requestedAtMs, requestedAtMs);
    if (this.unavailable || this.availableSinceMs === undefined)
      this.availableSinceMs = requestedAtMs;
    const { unavailable } = this;
    this.unavailable = false;
    return unavailable;
  }

  /** @returns whether the failure begins an outage */
  recordFailure(requestedAtMs: MonotonicMs): boolean {
    const { answeredAtMs, unavailable } = this;
    if (unavailable) return false;
    if (answeredAtMs !== undefined && requestedAtMs < answeredAtMs) return false;
    this.unavailable = true;
    this.lostAtMs = answeredAtMs;
    this.peerContactUntilMs = undefined;
    return true;
  }

  /**
   * Counts time that the clock missed: what was known before it lies further back. A process that was
   * suspended can't tell whether the store was there meanwhile.
   */
  addLostTime(lostMs: number): void {
    this.availableSinceMs = undefined;
    if (this.answeredAtMs !== undefined) this.answeredAtMs -= lostMs;
    if (this.lostAtMs !== undefined) this.lostAtMs -= lostMs;
    this.peerContactUntilMs = undefined;
  }

  /**
   * For how long the store has answered this entry VM without an outage, up to its last answer, in
   * milliseconds; undefined while it does not.
   */
  describe(nowMs: MonotonicMs): number | undefined {
    const { availableSinceMs, unavailable } = this;
    if (unavailable || availableSinceMs === undefined) return undefined;
    return Math.max(0, Math.round(nowMs - availableSinceMs));
  }

  /**
   * Records for how long the store has answered a peer.
   *
   * @returns whether the peer had contact during the whole last outage of this entry VM
   */
  recordPeer(availableMs: number, nowMs: MonotonicMs): boolean {
    const { lostAtMs } = this;
    if (lostAtMs === undefined || nowMs - availableMs > lostAtMs) return false;
    this.peerContactUntilMs = nowMs;
    return !this.unavailable;
  }

  /** Whether the store itself may have been away in the outage that has just ended. */
  mayHaveBeenAway(nowMs: MonotonicMs): boolean {
    const { peerContactUntilMs } = this;
    return peerContactUntilMs === undefined || nowMs - peerContactUntilMs > MAX_WORD_AGE_MS;
  }

  /** Forgets the last outage: what its registrations mean is known. */
  closeOutage(): void {
    this.lostAtMs = undefined;
  }
}
