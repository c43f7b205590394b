import type { EndpointId, MonotonicMs, PermitAnswer } from '@savorywind/model';

export type PermitDecision = Pick<PermitAnswer, 'outcome' | 'delayMs'>;

/**
 * Lowest rate at which permits are granted. An endpoint that takes fewer requests, or none, gets one from
 * time to time, as only a response shows that its limit has ended.
 */
const MIN_PERMITS_PER_S = 0.25;

const MS_PER_S = 1_000;

/**
 * The coordinator's account of the permits of endpoints. Permits of one endpoint are spaced evenly by its
 * rate, and each is granted for the next free time (generic cell rate algorithm without burst). An account
 * begins with the full spacing, because the previous coordinator may just have granted one.
 *
 * @example
 * account.take('engine-1', 2, 1_000, nowMs); // granted, usable 500 ms from now
 */
export class PermitAccount {
  private readonly nextFreeMs = new Map<EndpointId, MonotonicMs>();

  /**
   * Grants a permit if it can be used soon enough.
   *
   * @param perSecond permits per second
   * @param maxDelayMs longest useful time until the permit can be used
   */
  take(
    endpoint: EndpointId,
    perSecond: number,
    maxDelayMs: number,
    nowMs: MonotonicMs,
  ): PermitDecision {
    const spacingMs = MS_PER_S / Math.max(perSecond, MIN_PERMITS_PER_S);
    const freeMs = Math.max(nowMs, this.nextFreeMs.get(endpoint) ?? nowMs + spacingMs);
    const delayMs = freeMs - nowMs;
    const isGranted = delayMs <= maxDelayMs;
    this.nextFreeMs.set(endpoint, isGranted ? freeMs + spacingMs : freeMs);
    return { outcome: isGranted ? 'granted' : 'denied', delayMs };
  }

  remove(endpoint: EndpointId): void {
    this.nextFreeMs.delete(endpoint);
  }
}
