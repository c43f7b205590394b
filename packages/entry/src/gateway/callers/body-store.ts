/** Counts the bytes of all bodies that are held, so that callers together can't exhaust memory. */
export class BodyStore {
  private heldBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** @returns whether there is room; the bytes are counted then */
  add(bytes: number): boolean {
    if (this.heldBytes + bytes > this.maxBytes) return false;
    this.heldBytes += bytes;
    return true;
  }

  remove(bytes: number): void {
    this.heldBytes -= bytes;
  }
}
