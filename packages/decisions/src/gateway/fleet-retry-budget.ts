import type { MonotonicMs, ServiceId } from '@savorywind/model';
import { DEFAULT_ENTRY_VM_COUNT } from './consts.js';

interface Window {
  startedAtMs: MonotonicMs;
  requests: number;
  retries: number;
  previousRequests: number;
}

export interface FleetRetryBudgetOptions {
  /** Retries per request, for all entry VMs together. */
  readonly ratio: number;
  /** Retries in a window that are permitted without requests, for all entry VMs together. */
  readonly allowance: number;
  readonly windowMs: number;
}

/**
 * Fraction of the fleet's limit that is used. The limit applies to sliding windows, but the windows
 * here are fixed, and two adjacent ones can overlap the same sliding window.
 */
const SAFETY_FACTOR = 0.5;

/**
 * This entry VM's part of the retries that the fleet may send to a service. Each entry VM takes the
 * ratio of its own requests, and an equal part of the allowance. The allowance is divided by the
 * largest number of entry VMs known so far, so that the parts together stay within the fleet's
 * limit during a network partition as well.
 */
export class FleetRetryBudget {
  private readonly windows = new Map<ServiceId, Window>();

  private entryVmCount: number | undefined;

  constructor(private options: FleetRetryBudgetOptions) {}

  changeOptions(options: FleetRetryBudgetOptions): void {
    this.options = options;
  }

  /** Sets the number of entry VMs; the largest number ever set counts. */
  setEntryVmCount(count: number): void {
    this.entryVmCount = Math.max(this.entryVmCount ?? 1, count);
  }

  recordRequest(service: ServiceId, nowMs: MonotonicMs): void {
    this.findWindow(service, nowMs).requests += 1;
  }

  /** @returns whether a retry may be sent; it is then counted */
  takeRetry(service: ServiceId, nowMs: MonotonicMs): boolean {
    const window = this.findWindow(service, nowMs);
    const requests = Math.max(window.requests, window.previousRequests);
    const allowance = this.options.allowance / (this.entryVmCount ?? DEFAULT_ENTRY_VM_COUNT);
    if (window.retries + 1 > SAFETY_FACTOR * (this.options.ratio * requests + allowance))
      return false;
    window.retries += 1;
    return true;
  }

  private findWindow(service: ServiceId, nowMs: MonotonicMs): Window {
    const existing = this.windows.get(service);
    if (existing === undefined) {
      const created = { startedAtMs: nowMs, requests: 0, retries: 0, previousRequests: 0 };
      this.windows.set(service, created);
      return created;
    }
    const ageMs = nowMs - existing.startedAtMs;
    if (ageMs >= this.options.windowMs) {
      existing.previousRequests = ageMs < 2 * this.options.windowMs ? existing.requests : 0;
      existing.requests = 0;
      existing.retries = 0;
      existing.startedAtMs = nowMs;
    }
    return existing;
  }
}
