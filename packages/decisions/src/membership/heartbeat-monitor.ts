import type { EntryVmId, MonotonicMs } from '@savorywind/model';
import {
  MISSED_INTERVALS_BEFORE_SUSPICION,
  PROBE_TIMEOUT_MS,
  SLOW_HEARTBEAT_INTERVAL_MS,
} from './consts.js';

interface WatchedPeer {
  /** Interval that the peer announced in its last heartbeat, in milliseconds. */
  intervalMs: number;
  expectedByMs: MonotonicMs;
  suspected: boolean;
}

/**
 * Failure detector for linked peers. Any message counts as a heartbeat. A peer that sends nothing for
 * several of its announced intervals is suspected until its next message.
 */
export class HeartbeatMonitor {
  private readonly watched = new Map<EntryVmId, WatchedPeer>();

  add(peer: EntryVmId, nowMs: MonotonicMs): void {
    this.watched.set(peer, {
      intervalMs: SLOW_HEARTBEAT_INTERVAL_MS,
      expectedByMs: nowMs + SLOW_HEARTBEAT_INTERVAL_MS * MISSED_INTERVALS_BEFORE_SUSPICION,
      suspected: false,
    });
  }

  remove(peer: EntryVmId): void {
    this.watched.delete(peer);
  }

  isSuspected(peer: EntryVmId): boolean {
    return this.watched.get(peer)?.suspected === true;
  }

  /**
   * Records a message of a peer, which ends a suspicion.
   *
   * @returns whether the peer was suspected before
   */
  recordMessage(peer: EntryVmId, nowMs: MonotonicMs, intervalMs?: number): boolean {
    const watched = this.watched.get(peer);
    if (watched === undefined) return false;
    watched.intervalMs = intervalMs ?? watched.intervalMs;
    watched.expectedByMs = nowMs + watched.intervalMs * MISSED_INTERVALS_BEFORE_SUSPICION;
    const wasSuspected = watched.suspected;
    watched.suspected = false;
    return wasSuspected;
  }

  /**
   * Shortens the deadline of a peer that is sent a probe.
   *
   * @returns false if the peer is not linked or already suspected, so that no probe is needed
   */
  recordProbeSent(peer: EntryVmId, nowMs: MonotonicMs): boolean {
    const watched = this.watched.get(peer);
    if (watched === undefined || watched.suspected) return false;
    watched.expectedByMs = Math.min(watched.expectedByMs, nowMs + PROBE_TIMEOUT_MS);
    return true;
  }

  /**
   * Extends all deadlines after this process was suspended, because the messages that arrived
   * meanwhile have not been read yet.
   */
  handleProcessPause(pausedMs: number): void {
    this.watched.forEach((watched) => {
      watched.expectedByMs += pausedMs;
    });
  }

  /** Marks peers whose deadline has passed as suspected, and returns the newly suspected ones. */
  checkTimeouts(nowMs: MonotonicMs): EntryVmId[] {
    const overdue = [...this.watched].filter(
      ([, { suspected, expectedByMs }]) => !suspected && nowMs >= expectedByMs,
    );
    return overdue.map(([peer, watched]) => {
      watched.suspected = true;
      return peer;
    });
  }
}
