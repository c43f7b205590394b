import type { EndpointId, MonotonicMs } from '@savorywind/model';
import { MAX_BLOCKS, MAX_DIGEST_CHARACTERS } from './consts.js';

/** Leading blocks of a prompt at one engine, and when they were last used. */
export interface HeldBlocks {
  readonly blocks: number;
  readonly usedAtMs: MonotonicMs | undefined;
}

const NO_BLOCKS: HeldBlocks = { blocks: 0, usedAtMs: undefined };

/**
 * Which engines retain which blocks of prompt prefixes, least recently used first, as far as this
 * entry VM knows. The blocks of a prompt are stored last block first, so that a block is never
 * forgotten before the ones that follow it: if a digest is present, so are all shorter prefixes.
 *
 * @example
 * const index = new PrefixIndex();
 * index.record('engine-a1', ['a', 'b'], 390, 1_000);
 * index.findHeld('engine-a1', ['a', 'b', 'c'], 0); // { blocks: 2, usedAtMs: 1_000 }
 */
export class PrefixIndex {
  /** Time of last use by engine and digest; engines by last record, digests by last use. */
  private readonly byEngine = new Map<EndpointId, Map<string, MonotonicMs>>();

  /** Engines that hold a digest, least recently recorded first. */
  private readonly holders = new Map<string, Set<EndpointId>>();

  private count = 0;

  constructor(private readonly maxBlocks = MAX_BLOCKS) {}

  get blockCount(): number {
    return this.count;
  }

  countBlocks(engine: EndpointId): number {
    return this.byEngine.get(engine)?.size ?? 0;
  }

  listEngines(): EndpointId[] {
    return [...this.byEngine.keys()];
  }

  /**
   * Records that an engine has read a prompt.
   *
   * @param digests digests of the prompt's leading blocks, shortest prefix first
   * @param capacityBlocks blocks that the engine can hold
   */
  record(
    engine: EndpointId,
    digests: readonly string[],
    capacityBlocks: number,
    nowMs: MonotonicMs,
  ): void {
    const held = this.byEngine.get(engine) ?? new Map<string, MonotonicMs>();
    this.byEngine.delete(engine);
    this.byEngine.set(engine, held);
    for (let index = digests.length - 1; index >= 0; index -= 1) {
      const digest = digests[index] ?? '';
      if (digest.length <= MAX_DIGEST_CHARACTERS) this.recordBlock(engine, held, digest, nowMs);
    }
    while (held.size > capacityBlocks) this.removeOldest(engine, held);
    this.dropBeyondLimit();
    if (held.size === 0) this.byEngine.delete(engine);
  }

  /** Finds the leading blocks of a prompt that an engine holds and has used since a time. */
  findHeld(engine: EndpointId, digests: readonly string[], sinceMs: MonotonicMs): HeldBlocks {
    const held = this.byEngine.get(engine);
    if (held === undefined) return NO_BLOCKS;
    for (let index = digests.length - 1; index >= 0; index -= 1) {
      const usedAtMs = held.get(digests[index] ?? '');
      if (usedAtMs !== undefined && usedAtMs >= sinceMs) return { blocks: index + 1, usedAtMs };
    }
    return NO_BLOCKS;
  }

  /** Lists engines that hold leading blocks of a prompt, those that hold most of it first. */
  listHolders(digests: readonly string[], maxCount: number): EndpointId[] {
    const found = new Set<EndpointId>();
    for (let index = digests.length - 1; index >= 0; index -= 1) {
      for (const engine of this.holders.get(digests[index] ?? '') ?? []) {
        if (found.size >= maxCount) return [...found];
        found.add(engine);
      }
    }
    return [...found];
  }

  /** Drops what an engine has last used at a time or before. */
  dropUsedUntil(engine: EndpointId, timeMs: MonotonicMs): void {
    const held = this.byEngine.get(engine);
    if (held === undefined) return;
    for (const [digest, usedAtMs] of held) {
      if (usedAtMs > timeMs) break;
      this.removeBlock(engine, held, digest);
    }
    if (held.size === 0) this.byEngine.delete(engine);
  }

  dropEngine(engine: EndpointId): void {
    this.dropUsedUntil(engine, Infinity);
  }

  private recordBlock(
    engine: EndpointId,
    held: Map<string, MonotonicMs>,
    digest: string,
    nowMs: MonotonicMs,
  ): void {
    if (held.delete(digest)) this.count -= 1;
    held.set(digest, nowMs);
    this.count += 1;
    const holders = this.holders.get(digest) ?? new Set<EndpointId>();
    holders.delete(engine);
    holders.add(engine);
    this.holders.set(digest, holders);
  }

  private dropBeyondLimit(): void {
    while (this.count > this.maxBlocks) {
      const [oldest] = this.byEngine;
      if (oldest === undefined) return;
      const [engine, held] = oldest;
      this.removeOldest(engine, held);
      if (held.size === 0) this.byEngine.delete(engine);
    }
  }

  private removeOldest(engine: EndpointId, held: Map<string, MonotonicMs>): void {
    const [digest] = held.keys();
    if (digest !== undefined) this.removeBlock(engine, held, digest);
  }

  private removeBlock(engine: EndpointId, held: Map<string, MonotonicMs>, digest: string): void {
    if (!held.delete(digest)) return;
    this.count -= 1;
    const holders = this.holders.get(digest);
    holders?.delete(engine);
    if (holders?.size === 0) this.holders.delete(digest);
  }
}
