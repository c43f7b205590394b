import type { MonotonicMs } from '@savorywind/model';
import { MAX_QUEUED_REQUESTS } from './consts.js';
import type { GatewayRecord } from './request-record.js';

const isLate = ({ arrivedAtMs, route }: GatewayRecord, nowMs: MonotonicMs): boolean =>
  nowMs > arrivedAtMs + route.targetLatencyMs;

/**
 * Requests that wait for an engine. Under overload, requests that can still meet their target
 * latency go first, by priority and age, and late ones follow.
 */
export class RequestQueue {
  private readonly records = new Set<GatewayRecord>();

  /** @returns false if the queue is full */
  add(record: GatewayRecord): boolean {
    if (this.records.size >= MAX_QUEUED_REQUESTS) return false;
    this.records.add(record);
    return true;
  }

  remove(record: GatewayRecord): void {
    this.records.delete(record);
  }

  has(record: GatewayRecord): boolean {
    return this.records.has(record);
  }

  listInOrder(nowMs: MonotonicMs): GatewayRecord[] {
    return [...this.records].sort(
      (a, b) =>
        Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) ||
        a.priority - b.priority ||
        a.arrivedAtMs - b.arrivedAtMs,
    );
  }
}
