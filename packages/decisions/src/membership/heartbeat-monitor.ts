import type { EntryVmId, MonotonicMs } from '@savorywind/model';
import { MISSED_INTERVALS, PROBE_TIMEOUT_MS, SLOW_HEARTBEAT_MS } from './consts.js';

interface Watched {
  /** Pace that the peer promised, in milliseconds. */
  intervalMs: number;
  expectedByMs: MonotonicMs;
  suspected: boolean;
}

/**
 * Judges linked peers by what came from them. Each message is a sign of life; a peer that is silent
 * for several of its promised intervals is suspected until the next one.
 */
export class HeartbeatMonitor {
  private readonly watched = new Map<EntryVmId, Watched>();

  add(peer: EntryVmId, nowMs: MonotonicMs): void {
    this.watched.set(peer, {
      intervalMs: SLOW_HEARTBEAT_MS,
      expectedByMs: nowMs + SLOW_HEARTBEAT_MS * MISSED_INTERVALS,
      suspected: false,
    });
  }

  remove(peer: EntryVmId): void {
    this.watched.delete(peer);
  }

  isSuspected(peer: EntryVmId): boolean {
    return this.watched.get(peer)?.suspected === true;
  }

  /** Takes a message for a sign of life. @returns whether the peer was suspected before */
  acceptSign(peer: EntryVmId, nowMs: MonotonicMs, intervalMs?: number): boolean {
    const watched = this.watched.get(peer);
    if (watched === undefined) return false;
    watched.intervalMs = intervalMs ?? watched.intervalMs;
    watched.expectedByMs = nowMs + watched.intervalMs * MISSED_INTERVALS;
    const wasSuspected = watched.suspected;
    watched.suspected = false;
    return wasSuspected;
  }

  /** Shortens the wait for a peer that was sent a probe. @returns false where it is suspected */
  acceptProbeSent(peer: EntryVmId, nowMs: MonotonicMs): boolean {
    const watched = this.watched.get(peer);
    if (watched === undefined || watched.suspected) return false;
    watched.expectedByMs = Math.min(watched.expectedByMs, nowMs + PROBE_TIMEOUT_MS);
    return true;
  }

  /** This process was paused: what its peers sent meanwhile has yet to be read. */
  acceptPause(pausedMs: number): void {
    this.watched.forEach((watched) => {
      watched.expectedByMs += pausedMs;
    });
  }

  /** @returns peers that are suspected from now on */
  checkSilence(nowMs: MonotonicMs): EntryVmId[] {
    const silent = [...this.watched].filter(
      ([, { suspected, expectedByMs }]) => !suspected && nowMs >= expectedByMs,
    );
    return silent.map(([peer, watched]) => {
      watched.suspected = true;
      return peer;
    });
  }
}
