import type { CacheEvent } from './types.js';

interface PublishedEvent extends CacheEvent {
  readonly visibleAtMs: number;
}

export interface PrefixCacheSettings {
  readonly blockTokens: number;
  readonly eventDelayMs: number;
  /** Share of the events that are lost, from 0 to 1. */
  readonly eventLoss: number;
}

/** Events that are kept for readers; older ones are gone, which readers see as a gap. */
const EVENT_LIMIT = 10_000;

/** Fractional part of the golden ratio: spreads the lost events evenly, without random numbers. */
const SPREAD = 0.618_033_988_749_895;

/** Blocks of prompt prefixes that an engine still has, the least recently used dropped first. */
export class PrefixCache {
  private readonly blocks = new Set<string>();

  private events: PublishedEvent[] = [];

  private nextSequence = 1;

  constructor(private readonly settings: PrefixCacheSettings) {}

  get usedTokens(): number {
    return this.blocks.size * this.settings.blockTokens;
  }

  /** Tokens at the start of a prompt that need not be read again. */
  findCachedTokens(digests: readonly string[]): number {
    if (this.settings.blockTokens === 0) return 0;
    const missing = digests.findIndex((digest) => !this.blocks.has(digest));
    const count = missing === -1 ? digests.length : missing;
    digests.slice(0, count).forEach((digest) => {
      this.blocks.delete(digest);
      this.blocks.add(digest);
    });
    return count * this.settings.blockTokens;
  }

  add(digests: readonly string[], capacityTokens: number): void {
    if (this.settings.blockTokens === 0) return;
    digests.forEach((digest) => {
      if (this.blocks.has(digest)) return;
      this.blocks.add(digest);
      this.publish('added', digest);
    });
    this.dropBeyond(capacityTokens);
  }

  /** Drops the least recently used blocks until the rest fits. */
  dropBeyond(capacityTokens: number): void {
    for (const digest of this.blocks) {
      if (this.usedTokens <= capacityTokens) return;
      this.blocks.delete(digest);
      this.publish('removed', digest);
    }
  }

  /** Events after a sequence number, as far as they are published by now; lost ones are missing. */
  listEvents(afterSequence: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.events
      .filter(({ sequence, visibleAtMs }) => sequence > afterSequence && visibleAtMs <= nowMs)
      .map(({ sequence, kind, digest }) => ({ sequence, kind, digest }));
  }

  private publish(kind: CacheEvent['kind'], digest: string): void {
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    if ((sequence * SPREAD) % 1 < this.settings.eventLoss) return;
    const visibleAtMs = performance.now() + this.settings.eventDelayMs;
    this.events.push({ sequence, kind, digest, visibleAtMs });
    if (this.events.length > 2 * EVENT_LIMIT) this.events = this.events.slice(-EVENT_LIMIT);
  }
}
