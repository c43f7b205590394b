/** Limits the memory, in bytes, that the bodies of all requests to a server occupy together. */
export class BodyBudget {
  private reservedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  get usedBytes(): number {
    return this.reservedBytes;
  }

  /** @returns false, without reserving anything, if the bytes exceed the remaining budget */
  reserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.maxBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
