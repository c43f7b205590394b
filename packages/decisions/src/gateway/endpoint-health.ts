import type { EndpointId, MonotonicMs } from '@savorywind/model';
import { FIRST_EXCLUSION_MS, MAX_EXCLUSION_MS } from './consts.js';

interface Trouble {
  /** Failures in a row. */
  failures: number;
  excludedUntilMs: MonotonicMs;
}

/**
 * What this entry VM has seen of endpoints lately. One that fails gets no work for a while, longer
 * with each failure in a row; the first answer afterwards clears it.
 */
export class EndpointHealth {
  private readonly troubles = new Map<EndpointId, Trouble>();

  reportAnswer(id: EndpointId): void {
    this.troubles.delete(id);
  }

  reportFailure(id: EndpointId, nowMs: MonotonicMs): void {
    const trouble = this.troubles.get(id) ?? { failures: 0, excludedUntilMs: 0 };
    trouble.failures += 1;
    const exclusionMs = FIRST_EXCLUSION_MS * 2 ** (trouble.failures - 1);
    trouble.excludedUntilMs = nowMs + Math.min(exclusionMs, MAX_EXCLUSION_MS);
    this.troubles.set(id, trouble);
  }

  isExcluded(id: EndpointId, nowMs: MonotonicMs): boolean {
    return nowMs < (this.troubles.get(id)?.excludedUntilMs ?? 0);
  }

  remove(id: EndpointId): void {
    this.troubles.delete(id);
  }
}
