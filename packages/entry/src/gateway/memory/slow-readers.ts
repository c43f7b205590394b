import type { MemoryBudget } from './memory-budget.js';

/** A response that waits until its caller has read what was sent before. */
export interface WaitingResponse {
  /** Closes the connection of the caller. */
  readonly close: () => void;
}

export interface SlowReadersOptions {
  readonly budget: MemoryBudget;
  /** Memory for all responses that wait, in bytes. */
  readonly maxBytes: number;
  /** Called for each response that is closed. */
  readonly onClosed: () => void;
}

/**
 * Counts the memory of responses that wait for their callers. Where they take too much, those that have waited
 * longest are closed: a caller that reads at all gets on sooner or later, and others find room meanwhile.
 *
 * @example
 * const readers = new SlowReaders({ budget, maxBytes: 16_000_000, onClosed });
 * readers.set(response, 131_072);
 * response.once('drain', () => readers.remove(response));
 */
export class SlowReaders {
  /** Memory of each response that waits, in bytes, the one that has waited longest first. */
  private readonly waiting = new Map<WaitingResponse, number>();

  private bytes = 0;

  constructor(private readonly options: SlowReadersOptions) {}

  /** Memory of all responses that wait, in bytes. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Records that a response waits, and what it takes meanwhile, in bytes. */
  set(response: WaitingResponse, bytes: number): void {
    this.add(bytes - (this.waiting.get(response) ?? 0));
    this.waiting.set(response, bytes);
    while (this.bytes > this.options.maxBytes) this.closeLongest();
  }

  /** Records that a response waits no more. */
  remove(response: WaitingResponse): void {
    this.add(-(this.waiting.get(response) ?? 0));
    this.waiting.delete(response);
  }

  private closeLongest(): void {
    const [response] = this.waiting.keys();
    if (response === undefined) return;
    this.remove(response);
    this.options.onClosed();
    response.close();
  }

  private add(bytes: number): void {
    this.bytes += bytes;
    this.options.budget.add(bytes);
  }
}
