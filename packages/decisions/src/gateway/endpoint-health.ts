import type { EndpointId, MonotonicMs } from '@savorywind/model';
import { FIRST_EJECTION_MS, MAX_EJECTION_MS } from './consts.js';
import type { EndpointTable } from './endpoint-table.js';
import type { EndpointProcess } from './types.js';

interface FailureState {
  /** Consecutive failures. */
  failures: number;
  ejectedUntilMs: MonotonicMs;
}

/**
 * Ejects endpoints that fail attempts of this entry VM (outlier ejection). The ejection doubles
 * with each consecutive failure, and the first response ends it. Both count only if they are of the process
 * that is known.
 */
export class EndpointHealth {
  private readonly failureStates = new Map<EndpointId, FailureState>();

  constructor(private readonly table: EndpointTable) {}

  reportResponse(process: EndpointProcess): void {
    if (this.table.isKnown(process)) this.failureStates.delete(process.id);
  }

  reportFailure(process: EndpointProcess, nowMs: MonotonicMs): void {
    if (!this.table.isKnown(process)) return;
    const { id } = process;
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
