import type { MemoryBudget } from './memory-budget.js';

/**
 * A part of a budget that one use may take at most, in bytes.
 *
 * @example
 * const share = new MemoryShare(budget, 16_000_000);
 * if (!share.reserve(1_024)) sendOn();
 */
export class MemoryShare {
  private reservedBytes = 0;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly maxBytes: number,
  ) {}

  /** @returns false, without reserving anything, if the share or the budget is used up */
  reserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes || !this.budget.reserve(bytes)) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
    this.budget.release(bytes);
  }
}
