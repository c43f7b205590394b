import type { CacheEvent } from './types.js';

interface PublishedEvent extends CacheEvent {
  readonly visibleAtMs: number;
}

export interface PrefixCacheSettings {
  /** Tokens per block; 0 disables the cache. */
  readonly blockTokens: number;
  /** Time until an event becomes visible. */
  readonly eventDelayMs: number;
  /** Fraction of the events that are lost, from 0 to 1. */
  readonly eventLoss: number;
}

/** Number of newest events that are always retained; readers see dropped ones as a sequence gap. */
const MIN_RETAINED_EVENTS = 10_000;

/**
 * Fractional part of the golden ratio. Its multiples modulo 1 spread the lost events evenly without
 * random numbers.
 */
const GOLDEN_RATIO_FRACTION = 0.618_033_988_749_895;

/** LRU cache of prompt prefix blocks, with a log of the blocks that were added and removed. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private events: PublishedEvent[] = [];

  private nextSequence = 1;

  /** Blocks removed since the start. */
  evictedBlocks = 0;

  constructor(private readonly settings: PrefixCacheSettings) {}

  get usedTokens(): number {
    return this.blocks.size * this.settings.blockTokens;
  }

  /** Returns the number of leading prompt tokens whose blocks are cached; marks these as used. */
  findCachedTokens(digests: readonly string[]): number {
    if (this.settings.blockTokens === 0) return 0;
    const missing = digests.findIndex((digest) => !this.blocks.has(digest));
    const blockCount = missing === -1 ? digests.length : missing;
    digests.slice(0, blockCount).forEach((digest) => {
      this.blocks.delete(digest);
      this.blocks.add(digest);
    });
    return blockCount * this.settings.blockTokens;
  }

  /** Adds blocks that are not cached, and evicts others if the cache exceeds the capacity. */
  add(digests: readonly string[], capacityTokens: number): void {
    if (this.settings.blockTokens === 0) return;
    digests.forEach((digest) => {
      if (this.blocks.has(digest)) return;
      this.blocks.add(digest);
      this.publish('added', digest);
    });
    this.dropBeyond(capacityTokens);
  }

  /** Evicts the least recently used blocks until the cache fits into the capacity. */
  dropBeyond(capacityTokens: number): void {
    for (const digest of this.blocks) {
      if (this.usedTokens <= capacityTokens) return;
      this.blocks.delete(digest);
      this.evictedBlocks += 1;
      this.publish('removed', digest);
    }
  }

  /** Lists visible events after a sequence number; lost events leave gaps in the sequence. */
  listEvents(afterSequence: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.events
      .filter(({ sequence, visibleAtMs }) => sequence > afterSequence && visibleAtMs <= nowMs)
      .map(({ sequence, kind, digest }) => ({ sequence, kind, digest }));
  }

  private publish(kind: CacheEvent['kind'], digest: string): void {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    if ((sequence * GOLDEN_RATIO_FRACTION) % 1 < this.settings.eventLoss) return;
    const visibleAtMs = performance.now() + this.settings.eventDelayMs;
    this.events.push({ sequence, kind, digest, visibleAtMs });
    if (this.events.length > 2 * MIN_RETAINED_EVENTS)
      this.events = this.events.slice(-MIN_RETAINED_EVENTS);
  }
}
