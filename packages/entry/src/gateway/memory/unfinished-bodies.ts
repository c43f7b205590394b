import type { MemoryBudget } from './memory-budget.js';

/** Youngest body that makes room for others, in milliseconds: most bodies come at once. */
const MIN_AGE_MS = 1_000;

/** A request whose body has not arrived completely, so that it has not run. */
export interface UnfinishedBody {
  /** Memory that its refusal gives back, in bytes, some of it only once its response has ended. */
  readonly heldBytes: number;
  /** Refuses the request as not run, and closes its connection. */
  readonly refuse: () => void;
}

export interface UnfinishedBodiesOptions {
  readonly budget: Pick<MemoryBudget, 'reserve' | 'add' | 'release'>;
  /** Called for each request that is refused. */
  readonly onRefused: () => void;
  /** A steady clock, in milliseconds. */
  readonly readNowMs?: () => number;
}

/**
 * Makes room for requests among those whose bodies have not ended: where the memory is used up, those that have
 * been read longest, for a second at least, are refused. Otherwise callers that never finish would keep all others out until
 * the time for their bodies is over.
 *
 * @example
 * const bodies = new UnfinishedBodies({ budget, onRefused });
 * if (!bodies.reserve(16_384)) refuse();
 */
export class UnfinishedBodies {
  /** When the reading of each has begun, in milliseconds, the first one first. */
  private readonly reading = new Map<UnfinishedBody, number>();

  private readonly readNowMs: () => number;

  constructor(private readonly options: UnfinishedBodiesOptions) {
    this.readNowMs = options.readNowMs ?? ((): number => performance.now());
  }

  /** Records that the body of a request is read from now on. */
  addBody(body: UnfinishedBody): void {
    this.reading.set(body, this.readNowMs());
  }

  /** Records that a body is complete, or is not read any more. */
  removeBody(body: UnfinishedBody): void {
    this.reading.delete(body);
  }

  /**
   * Reserves memory, in bytes, and refuses old unfinished requests for it if it must. What these give back only
   * later is reserved all the same.
   *
   * @param taker the request that needs it, which is not refused for itself
   * @returns false, without reserving anything, if there is too little to give back
   */
  reserve(bytes: number, taker?: UnfinishedBody): boolean {
    const { budget } = this.options;
    if (budget.reserve(bytes)) return true;
    const givers = this.findGivers(bytes, taker);
    if (givers === undefined) return false;
    givers.forEach((body) => this.refuse(body));
    if (!budget.reserve(bytes)) budget.add(bytes);
    return true;
  }

  /** Reserves memory, in bytes, where nobody has to be refused for it. */
  reserveFree(bytes: number): boolean {
    return this.options.budget.reserve(bytes);
  }

  release(bytes: number): void {
    this.options.budget.release(bytes);
  }

  /** Finds the oldest requests that hold as many bytes together; undefined if there are none. */
  private findGivers(
    bytes: number,
    taker: UnfinishedBody | undefined,
  ): UnfinishedBody[] | undefined {
    const latestMs = this.readNowMs() - MIN_AGE_MS;
    const givers: UnfinishedBody[] = [];
    let heldBytes = 0;
    for (const [body, sinceMs] of this.reading) {
      if (sinceMs > latestMs) return undefined;
      if (body !== taker) {
        givers.push(body);
        heldBytes += body.heldBytes;
        if (heldBytes >= bytes) return givers;
      }
    }
    return undefined;
  }

  private refuse(body: UnfinishedBody): void {
    this.removeBody(body);
    this.options.onRefused();
    body.refuse();
  }
}
