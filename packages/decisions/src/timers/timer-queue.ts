import TinyQueue from 'tinyqueue';
import type { MonotonicMs } from '@savorywind/model';

/** A callback that is due at a time; cancelled by its owner when it is no longer wanted. */
export interface Timer {
  cancel(): void;
}

interface Entry {
  readonly atMs: MonotonicMs;
  readonly order: number;
  callback: (() => void) | undefined;
}

const compareEntries = (a: Entry, b: Entry): number => a.atMs - b.atMs || a.order - b.order;

/** Timers of one entry VM, driven by whoever holds the clock. Equal times fire in order of setting. */
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

  /** Time of the earliest timer that was not cancelled. */
  nextDueMs(): MonotonicMs | undefined {
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
