import type { MonotonicMs, ServiceId } from '@savorywind/model';
import { MAX_QUEUED_REQUESTS } from '../consts.js';
import type { GatewayRecord } from '../request-record.js';

const isLate = ({ arrivedAtMs, route }: GatewayRecord, nowMs: MonotonicMs): boolean =>
  nowMs > arrivedAtMs + route.targetLatencyMs;

/**
 * Requests that wait for an engine. Under overload, requests that can still meet their target
 * latency go first, by priority and age, and late ones follow.
 */
export class RequestQueue {
  private readonly records = new Set<GatewayRecord>();

  private readonly countByService = new Map<ServiceId, number>();

  /** @returns false if the queue is full */
  add(record: GatewayRecord): boolean {
    if (this.records.size >= MAX_QUEUED_REQUESTS) return false;
    if (!this.records.has(record)) this.changeCount(record, 1);
    this.records.add(record);
    return true;
  }

  remove(record: GatewayRecord): void {
    if (this.records.delete(record)) this.changeCount(record, -1);
  }

  has(record: GatewayRecord): boolean {
    return this.records.has(record);
  }

  /** Counts the queued requests of a service. */
  count(service: ServiceId): number {
    return this.countByService.get(service) ?? 0;
  }

  listInOrder(nowMs: MonotonicMs): GatewayRecord[] {
    return [...this.records].sort(
      (a, b) =>
        Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) ||
        a.priority - b.priority ||
        a.arrivedAtMs - b.arrivedAtMs,
    );
  }

  private changeCount({ service }: GatewayRecord, difference: number): void {
    const count = this.count(service.name) + difference;
    if (count === 0) this.countByService.delete(service.name);
    else this.countByService.set(service.name, count);
  }
}
