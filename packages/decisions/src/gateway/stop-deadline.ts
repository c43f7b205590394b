import type { MonotonicMs } from '@savorywind/model';
import { estimateDecodeMs, estimateMinFirstEventMs } from './placement/placement-policy.js';
import { MAX_HELPERS } from './consts.js';
import type { GatewayRecord } from './request-record.js';

/**
 * Estimates the shortest time from the start of an attempt to the end of its response, in
 * milliseconds. Nothing is known of plain services but their target latency.
 */
const estimateServiceMs = (record: GatewayRecord): number => {
  if (record.service.engine === undefined) return record.route.targetLatencyMs;
  return estimateMinFirstEventMs(record, MAX_HELPERS + 1) + estimateDecodeMs(record);
};

/** The time at which a stopping process ends its open requests; unlimited until it has to stop. */
export class StopDeadline {
  private endMs = Number.POSITIVE_INFINITY;

  /** Sets the end of the time that the process has for its requests. */
  set(endMs: MonotonicMs): void {
    this.endMs = endMs;
  }

  /** Whether the response to a request may still begin if its first event takes this long. */
  mayStart(minFirstEventMs: number, nowMs: MonotonicMs): boolean {
    return nowMs + minFirstEventMs < this.endMs;
  }

  /**
   * Whether a request that can't be placed yet may wait: its response is expected to be complete in
   * time. Otherwise a peer serves it sooner than this process, which would hold it to no purpose.
   * A response of which the caller has a part waits as long as there is time.
   *
   * @param startMs earliest expected time of the attempt
   */
  mayWait(record: GatewayRecord, startMs: MonotonicMs): boolean {
    return record.hasForwardedHead || startMs + estimateServiceMs(record) < this.endMs;
  }
}
