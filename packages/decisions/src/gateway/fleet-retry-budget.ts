import type { MonotonicMs, ServiceId } from '@savorywind/model';
import { ASSUMED_PEERS } from './consts.js';

interface Window {
  startedAtMs: MonotonicMs;
  requests: number;
  repeats: number;
  previousRequests: number;
}

export interface FleetRetryBudgetOptions {
  /** Repeats per request, for the fleet. */
  readonly ratio: number;
  /** Free repeats in a window, for the fleet. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Share of the fleet's bounds that is used: windows of the fleet slide, those here are fixed. */
const SAFETY = 0.5;

/**
 * This entry VM's part of the repeats that the fleet may send to a service. The parts add up to no
 * more than the fleet's bound, also when entry VMs can't hear each other: each takes the ratio of
 * its own requests, and an equal part of the allowance for the largest fleet that it knew of.
 */
export class FleetRetryBudget {
  private readonly windows = new Map<ServiceId, Window>();

  private vms: number | undefined;

  constructor(private options: FleetRetryBudgetOptions) {}

  changeOptions(options: FleetRetryBudgetOptions): void {
    this.options = options;
  }

  /** Takes how many entry VMs there are; the largest number counts. */
  setVmCount(count: number): void {
    this.vms = Math.max(this.vms ?? 1, count);
  }

  recordRequest(service: ServiceId, nowMs: MonotonicMs): void {
    this.findWindow(service, nowMs).requests += 1;
  }

  /** @returns whether a repeat may be sent; it is then counted */
  takeRepeat(service: ServiceId, nowMs: MonotonicMs): boolean {
    const window = this.findWindow(service, nowMs);
    const requests = Math.max(window.requests, window.previousRequests);
    const free = this.options.allowance / (this.vms ?? ASSUMED_PEERS);
    if (window.repeats + 1 > SAFETY * (this.options.ratio * requests + free)) return false;
    window.repeats += 1;
    return true;
  }

  private findWindow(service: ServiceId, nowMs: MonotonicMs): Window {
    const known = this.windows.get(service);
    if (known === undefined) {
      const fresh = { startedAtMs: nowMs, requests: 0, repeats: 0, previousRequests: 0 };
      this.windows.set(service, fresh);
      return fresh;
    }
    const ageMs = nowMs - known.startedAtMs;
    if (ageMs >= this.options.windowMs) {
      known.previousRequests = ageMs < 2 * this.options.windowMs ? known.requests : 0;
      known.requests = 0;
      known.repeats = 0;
      known.startedAtMs = nowMs;
    }
    return known;
  }
}
