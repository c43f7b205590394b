import type { MonotonicMs } from '@savorywind/model';
import { MAX_WAITING } from './consts.js';
import type { GatewayRecord } from './request-record.js';

const isLate = ({ arrivedAtMs, route }: GatewayRecord, nowMs: MonotonicMs): boolean =>
  nowMs > arrivedAtMs + route.targetLatencyMs;

/**
 * Requests that wait for an engine. Answers a load that engines can't bear: those that may still be
 * in time come first, by rank and age, and those that are late after them.
 */
export class WaitingLine {
  private readonly records = new Set<GatewayRecord>();

  /** @returns whether there was room */
  add(record: GatewayRecord): boolean {
    if (this.records.size >= MAX_WAITING) return false;
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
