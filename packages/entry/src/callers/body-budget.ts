/** Memory for request bodies, shared by all requests of one entry VM, in bytes. */
export class BodyBudget {
  private used = 0;

  constructor(private readonly maxBytes: number) {}

  get usedBytes(): number {
    return this.used;
  }

  /** @returns false where the bytes don't fit; nothing is taken then */
  take(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) return false;
    this.used += bytes;
    return true;
  }

  release(bytes: number): void {
    this.used -= bytes;
  }
}
