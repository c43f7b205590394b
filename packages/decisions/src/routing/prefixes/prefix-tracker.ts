import {
  logEvents,
  PREFIX_BLOCK_TOKENS,
  type EndpointId,
  type Engine,
  type ModelContract,
  type MonotonicMs,
} from '@savorywind/model';
import type { AnswerUsage } from '../../context/types.js';
import type { FleetIndex } from '../fleet-index.js';
import type { RouterDependencies } from '../types.js';
import {
  CONFIDENCE_SMOOTHING,
  FLEET_SMOOTHING,
  INITIAL_ASSUMED_FRACTION,
  MAX_HOLDERS,
  MIN_CONFIRMED_FRACTION,
} from './consts.js';
import { PrefixIndex } from './prefix-index.js';
import type { KeptPrefix } from './types.js';

interface PrefixTrackerDependencies extends RouterDependencies {
  readonly index: FleetIndex;
}

const NOT_KEPT: KeptPrefix = {
  keptTokens: 0,
  probability: 0,
  source: 'none',
  usedAtMs: undefined,
};

/**
 * What this entry VM knows about the prefixes that engines retain: what they have read for it, and
 * what their responses say. Only for models whose configuration declares `prefixRetention`.
 *
 * An engine that reports fewer cached tokens than expected has dropped the prefix, and with it
 * everything that it used before: knowledge that is as old or older is dropped.
 */
export class PrefixTracker {
  private readonly blocks = new PrefixIndex();

  /** Fraction of the expected tokens that the responses of an engine confirm; 1 if absent. */
  private readonly confidences = new Map<EndpointId, number>();

  /** Fraction of an unknown prefix that its owner turns out to retain. */
  private assumedFraction = INITIAL_ASSUMED_FRACTION;

  /** Fraction of the blocks of prompts that their engine held already. */
  private reusedFraction = 0;

  constructor(private readonly dependencies: PrefixTrackerDependencies) {}

  /** Fraction of retained tokens that later prompts are expected to use, from 0 to 1. */
  get reuseFraction(): number {
    return this.reusedFraction;
  }

  get blockCount(): number {
    return this.blocks.blockCount;
  }

  /** Whether retained prefixes count for a request: its model declares them, and it has a prefix. */
  isTracked({ model, prefixDigests }: ModelContract): boolean {
    return prefixDigests.length > 0 && this.findMaxAgeMs(model) !== undefined;
  }

  /** Lists engines that are known to retain leading blocks of a prompt; those that are lost forget it. */
  listHolders({ prefixDigests, model }: ModelContract): Engine[] {
    const { index, membership } = this.dependencies;
    return this.blocks.listHolders(prefixDigests, MAX_HOLDERS).flatMap((id) => {
      const engine = index.findEngine(id);
      if (engine === undefined || !membership.isUsable(id)) {
        this.dropEngine(id);
        return [];
      }
      return engine.model === model ? [engine] : [];
    });
  }

  /**
   * Finds what an engine is expected to retain of a prompt.
   *
   * @param owner the engine that all entry VMs prefer for the prefix while they know of no other
   */
  findKept(engine: Engine, contract: ModelContract, owner: Engine | undefined): KeptPrefix {
    const { prefixDigests, model } = contract;
    const maxAgeMs = this.findMaxAgeMs(model);
    if (maxAgeMs === undefined) return NOT_KEPT;
    const sinceMs = this.dependencies.context.nowMs - maxAgeMs;
    const { blocks, usedAtMs } = this.blocks.findHeld(engine.id, prefixDigests, sinceMs);
    if (blocks > 0) {
      const keptTokens = blocks * PREFIX_BLOCK_TOKENS;
      const probability = this.confidences.get(engine.id) ?? 1;
      return { keptTokens, probability, source: 'known', usedAtMs };
    }
    if (engine !== owner) return NOT_KEPT;
    const keptTokens = prefixDigests.length * PREFIX_BLOCK_TOKENS;
    return {
      keptTokens,
      probability: this.assumedFraction,
      source: 'assumed',
      usedAtMs: undefined,
    };
  }

  /** Counts the tokens of all prefixes that an engine is expected to retain. */
  countRetainedTokens(engine: EndpointId): number {
    return this.blocks.countBlocks(engine) * PREFIX_BLOCK_TOKENS;
  }

  /**
   * Records that an engine has read a prompt, and so retains its prefix from now on.
   *
   * @param freeTokens this entry VM's part of the engine's memory that streams do not use; what was
   *   used least recently beyond it counts as dropped
   */
  recordRead(engine: Engine, { prefixDigests }: ModelContract, freeTokens: number): void {
    const { nowMs } = this.dependencies.context;
    const { blocks } = this.blocks.findHeld(engine.id, prefixDigests, -Infinity);
    this.reusedFraction += FLEET_SMOOTHING * (blocks / prefixDigests.length - this.reusedFraction);
    const capacityBlocks = Math.floor(Math.max(0, freeTokens) / PREFIX_BLOCK_TOKENS);
    this.blocks.record(engine.id, prefixDigests, capacityBlocks, nowMs);
  }

  /**
   * Corrects what is known by the engine's own word.
   *
   * @param expected what was expected when the request was placed
   * @param promptTokens length of the prompt in this entry VM's estimate, which the expected tokens
   *   are counted in; the engine's own count may differ
   */
  recordUsage(
    engine: Engine,
    expected: KeptPrefix,
    promptTokens: number,
    usage: AnswerUsage,
  ): void {
    const { keptTokens, source, usedAtMs } = expected;
    const cachedFraction = (usage.cachedTokens ?? NaN) / usage.promptTokens;
    if (!(cachedFraction >= 0) || keptTokens === 0) return;
    const confirmed = Math.min(1, (cachedFraction * promptTokens) / keptTokens);
    if (source === 'assumed') {
      this.assumedFraction += FLEET_SMOOTHING * (confirmed - this.assumedFraction);
      return;
    }
    const confidence = this.confidences.get(engine.id) ?? 1;
    this.confidences.set(engine.id, confidence + CONFIDENCE_SMOOTHING * (confirmed - confidence));
    if (usedAtMs === undefined || confirmed >= MIN_CONFIRMED_FRACTION) return;
    this.dropOlder(engine.id, usedAtMs, keptTokens, usage);
  }

  /** Drops what is known of an engine whose process may be lost. */
  dropEngine(engine: EndpointId): void {
    this.confidences.delete(engine);
    const blocks = this.blocks.countBlocks(engine);
    if (blocks === 0) return;
    this.blocks.dropEngine(engine);
    this.dependencies.context.log(logEvents.prefixesForgotten, { endpoint: engine, blocks });
  }

  /** Drops what is older than each model allows, and what lost engines held. */
  sweep(): void {
    const { index, membership, context } = this.dependencies;
    this.blocks.listEngines().forEach((id) => {
      const engine = index.findEngine(id);
      const maxAgeMs = engine === undefined ? undefined : this.findMaxAgeMs(engine.model);
      if (maxAgeMs === undefined || !membership.isUsable(id)) this.dropEngine(id);
      else this.blocks.dropUsedUntil(id, context.nowMs - maxAgeMs);
    });
    this.confidences.forEach((_, id) => {
      if (index.findEngine(id) === undefined) this.confidences.delete(id);
    });
  }

  private dropOlder(
    endpoint: EndpointId,
    usedAtMs: MonotonicMs,
    expectedTokens: number,
    { cachedTokens }: AnswerUsage,
  ): void {
    const before = this.blocks.countBlocks(endpoint);
    this.blocks.dropUsedUntil(endpoint, usedAtMs);
    const blocks = before - this.blocks.countBlocks(endpoint);
    const fields = { endpoint, expectedTokens, cachedTokens, blocks };
    this.dependencies.context.log(logEvents.prefixNotRetained, fields);
  }

  private findMaxAgeMs(model: string): number | undefined {
    return this.dependencies.index.findModel(model)?.prefixRetention?.maxAgeMs;
  }
}
