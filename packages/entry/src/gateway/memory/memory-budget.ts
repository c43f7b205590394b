/**
 * Counts the memory, in bytes, that requests, their bodies, unfinished heads and buffered responses take
 * together, by their prices.
 *
 * @example
 * const budget = new MemoryBudget(64_000_000);
 * if (!budget.reserve(16_384)) refuse();
 */
export class MemoryBudget {
  private reservedBytes = 0;

  constructor(readonly maxBytes: number) {}

  get usedBytes(): number {
    return this.reservedBytes;
  }

  /** @returns false, without reserving anything, if the bytes exceed what is left */
  reserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  /** Counts memory of work that was accepted, also beyond the bound: then new work is refused. */
  add(bytes: number): void {
    this.reservedBytes += bytes;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
