import type { EndpointId, MonotonicMs } from '@savorywind/model';
import { FIRST_EJECTION_MS, MAX_EJECTION_MS } from './consts.js';

interface FailureState {
  /** Consecutive failures. */
  failures: number;
  ejectedUntilMs: MonotonicMs;
}

/**
 * Ejects endpoints that fail attempts of this entry VM (outlier ejection). The ejection doubles
 * with each consecutive failure, and the first response ends it.
 */
export class EndpointHealth {
  private readonly failureStates = new Map<EndpointId, FailureState>();

  reportResponse(id: EndpointId): void {
    this.failureStates.delete(id);
  }

  reportFailure(id: EndpointId, nowMs: MonotonicMs): void {
    const state = this.failureStates.get(id) ?? { failures: 0, ejectedUntilMs: 0 };
    state.failures += 1;
    const ejectionMs = FIRST_EJECTION_MS * 2 ** (state.failures - 1);
    state.ejectedUntilMs = nowMs + Math.min(ejectionMs, MAX_EJECTION_MS);
    this.failureStates.set(id, state);
  }

  isEjected(id: EndpointId, nowMs: MonotonicMs): boolean {
    return nowMs < (this.failureStates.get(id)?.ejectedUntilMs ?? 0);
  }

  remove(id: EndpointId): void {
    this.failureStates.delete(id);
  }
}
