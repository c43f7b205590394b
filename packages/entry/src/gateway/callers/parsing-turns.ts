import { nextTick } from 'node:process';

/** Time for parsing in one turn of the event loop, in milliseconds. One piece of work may exceed it. */
const TURN_MS = 8;

/** Who goes first: what a sound caller sends does not wait behind the rest of what others have sent. */
export type ParsingOrder =
  /** The first part of what has just arrived. */
  | 'first'
  /** What follows it, and large heads. */
  | 'rest';

/**
 * Shares the processor time of each turn of the event loop among connections. What they send is parsed in small
 * pieces. Once the time is used up, connections wait for the next turn, so that neither their number nor what
 * they send delays responses, timers and other requests.
 *
 * Time is counted from the first piece of a turn, so that it includes what its request sets off.
 *
 * @example
 * const turns = new ParsingTurns();
 * turns.run('first', () => parse(bytes));
 */
export class ParsingTurns {
  private readonly waiting: Readonly<Record<ParsingOrder, Set<() => void>>> = {
    first: new Set(),
    rest: new Set(),
  };

  private startedAtMs: number | undefined;

  /** Runs a piece of work at once if there is time left and nobody waits, or else in a later turn. */
  run(order: ParsingOrder, work: () => void): void {
    if (this.mayRunNow(order)) work();
    else this.waiting[order].add(work);
  }

  /** Whether a piece of work may be run at once: there is time left and nobody waits. */
  mayRunNow(order: ParsingOrder): boolean {
    return this.waiting[order].size === 0 && this.hasTime();
  }

  /** Forgets work that waits. */
  remove(work: () => void): void {
    this.waiting.first.delete(work);
    this.waiting.rest.delete(work);
  }

  private hasTime(): boolean {
    if (this.startedAtMs === undefined) {
      this.startedAtMs = performance.now();
      setImmediate(() => this.beginTurn());
    }
    return performance.now() - this.startedAtMs < TURN_MS;
  }

  private beginTurn(): void {
    this.startedAtMs = undefined;
    this.runNext();
  }

  private runNext(): void {
    const { first, rest } = this.waiting;
    const queue = first.size > 0 ? first : rest;
    const [work] = queue;
    if (work === undefined || !this.hasTime()) return;
    queue.delete(work);
    try {
      work();
    } finally {
      // Runs after what the work does at once.
      nextTick(() => this.runNext());
    }
  }
}
