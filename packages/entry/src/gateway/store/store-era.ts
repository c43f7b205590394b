/**
 * How a response of the store relates to its newest known era. `missing`: it names no era although earlier
 * ones did.
 */
export type EraRelation = 'current' | 'older' | 'missing';

/**
 * The era of the store. The store raises it each time it comes back from an older copy of itself: what it
 * acknowledged since that copy is lost, and versions are given out again. So versions can only be compared
 * within one era. A store that has never named an era is in one era all the time.
 *
 * @example
 * const era = new StoreEra((previous, current) => {});
 * era.observe(4); // 'current'
 * era.observe(5); // 'current', after the callback with 4 and 5
 * era.observe(4); // 'older': the response was late
 */
export class StoreEra {
  private newest: number | undefined;

  private raiseCount = 0;

  /** @param onRaised called when a response shows that the store has begun a new era */
  constructor(private readonly onRaised: (previous: number, current: number) => void) {}

  /** The newest era that a response has named; undefined if none has. */
  get current(): number | undefined {
    return this.newest;
  }

  /** How often a new era has begun since the start of this process. */
  get raises(): number {
    return this.raiseCount;
  }

  /** Records the era of a response; undefined if it names none that can be read. */
  observe(era: number | undefined): EraRelation {
    const previous = this.newest;
    if (era === undefined) return previous === undefined ? 'current' : 'missing';
    if (previous !== undefined && era < previous) return 'older';
    this.newest = era;
    if (previous !== undefined && era > previous) {
      this.raiseCount += 1;
      this.onRaised(previous, era);
    }
    return 'current';
  }
}
