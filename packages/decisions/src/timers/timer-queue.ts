import TinyQueue from 'tinyqueue';
import type { MonotonicMs } from '@savorywind/model';

/** Handle of a scheduled callback. */
export interface Timer {
  /** Prevents the callback from running; does nothing once it has run. */
  cancel(): void;
}

interface Entry {
  readonly atMs: MonotonicMs;
  readonly order: number;
  callback: (() => void) | undefined;
}

const compareEntries = (a: Entry, b: Entry): number => a.atMs - b.atMs || a.order - b.order;

/**
 * Timers of one process, without a clock of its own: the owner calls {@link runDue} with the
 * current time. Timers that are due at the same time run in the order in which they were scheduled.
 */
export class TimerQueue {
  private readonly queue = new TinyQueue<Entry>([], compareEntries);

  private nextOrder = 0;

  schedule(atMs: MonotonicMs, callback: () => void): Timer {
    const entry: Entry = { atMs, order: this.nextOrder, callback };
    this.nextOrder += 1;
    this.queue.push(entry);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  /** Time of the earliest timer that is not cancelled; undefined without any. */
  findNextDueMs(): MonotonicMs | undefined {
    this.dropCancelled();
    return this.queue.peek()?.atMs;
  }

  runDue(nowMs: MonotonicMs): void {
    for (;;) {
      this.dropCancelled();
      const first = this.queue.peek();
      if (first === undefined || first.atMs > nowMs) return;
      this.queue.pop();
      first.callback?.();
    }
  }

  private dropCancelled(): void {
    while (this.queue.peek() !== undefined && this.queue.peek()?.callback === undefined) {
      this.queue.pop();
    }
  }
}
