import { getHeapStatistics } from 'node:v8';

/** Interval at which the heap is looked at, in milliseconds. */
const INTERVAL_MS = 1_000;

/** Fraction of the limit from which the heap is nearly full. */
const FULL_FRACTION = 0.9;

/** Fraction below which it is not any more. */
const FREE_FRACTION = 0.75;

/** The heap when it is nearly full. */
export interface HeapUse {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

const readHeap = (): HeapUse => {
  const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
  return { usedBytes, limitBytes };
};

/**
 * Reports once each time the heap comes near its limit: a process that ends for want of memory can't say so
 * itself.
 */
export class HeapWatch {
  private isFull = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly onNearlyFull: (use: HeapUse) => void,
    private readonly read: () => HeapUse = readHeap,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.check(), INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  check(): void {
    const use = this.read();
    const fraction = use.usedBytes / use.limitBytes;
    if (fraction >= FULL_FRACTION && !this.isFull) this.onNearlyFull(use);
    this.isFull = fraction >= (this.isFull ? FREE_FRACTION : FULL_FRACTION);
  }
}
