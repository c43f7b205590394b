import type { EndpointId, Engine, ModelContract, ModelId } from '@savorywind/model';
import type { FleetIndex } from '../fleet-index.js';
import { findOwner } from '../../membership/rendezvous.js';
import type { RouterDependencies, SlotRequest } from '../types.js';
import { estimateSavedMs, pickByPrefixCost } from '../prefixes/prefix-savings.js';
import type { PrefixTracker } from '../prefixes/prefix-tracker.js';
import type { PrefixCandidate } from '../prefixes/types.js';
import { countMemoryTokens, estimatePrefillMs } from '../work-estimate.js';
import type { EngineView } from './engine-view.js';
import type { CoordinatedPolicy } from './types.js';

/** Engines that are compared for one light request; bounds the cost in a large fleet. */
const SAMPLED_ENGINES = 5;

/**
 * With `fillFirst`, a heavy request goes to the first engine whose heavy backlog is at most this
 * multiple of the request's prefill time.
 */
const MAX_FILL_BACKLOG_FACTOR = 0.3;

/**
 * Backlog that a light request accepts on another engine to avoid one with a heavy prefill, in
 * milliseconds, so that the heavy prefill runs at full speed. The penalty is lower the higher the
 * slowdown weight is.
 */
const HEAVY_PREFILL_PENALTY_MS = { min: 100, max: 700 };

/** With `split`, fraction of a failure domain's engines that is reserved for heavy requests. */
const HEAVY_ENGINE_FRACTION = 0.6;

/** Tokens per block of the prompt's prefix digests. */
const PREFIX_BLOCK_TOKENS = 512;

/** Prefixes whose engine is cached; the whole cache is cleared when it is full. */
const MAX_CACHED_PREFIXES = 1_000;

/**
 * A queued request moves to another engine if its wait there is below this fraction of its
 * remaining wait on the current one.
 */
const MAX_MOVE_WAIT_FRACTION = 0.5;

interface EnginePickerDependencies extends RouterDependencies {
  readonly index: FleetIndex;
  readonly policy: CoordinatedPolicy;
  readonly findView: (engine: Engine) => EngineView;
  readonly readSlowdownWeight: () => number;
  readonly prefixes: PrefixTracker;
}

/** Chooses the engine for a light request, and the engine on which a heavy request is queued. */
export class EnginePicker {
  private readonly prefixEngines = new Map<string, Engine>();

  constructor(private readonly dependencies: EnginePickerDependencies) {}

  /** Returns the least busy of a few sampled engines, or undefined if none of them has credit. */
  pickForLight(
    request: SlotRequest,
    peerCount: number,
    creditFraction: number,
  ): Engine | undefined {
    const { context, findView } = this.dependencies;
    const { contract } = request;
    if (this.dependencies.prefixes.isTracked(contract))
      return this.pickByPrefix(request, peerCount, creditFraction);
    const engines = this.listPartition(this.listLocalEngines(contract.model), true);
    const preferred = this.findPrefixEngine(engines, contract.prefixDigests);
    const tokens = countMemoryTokens(contract);
    const heavyPrefillPenaltyMs = this.estimateHeavyPrefillPenaltyMs();
    let best: Engine | undefined;
    let bestMs = Infinity;
    this.drawUsable(request, engines, preferred).forEach((engine) => {
      const view = findView(engine);
      if (!view.hasCredit(tokens, peerCount, creditFraction, context.nowMs)) return;
      const savedMs =
        engine === preferred
          ? estimatePrefillMs(engine, contract.prefixDigests.length * PREFIX_BLOCK_TOKENS)
          : 0;
      const penaltyMs = view.readHeavyBacklogMs(context.nowMs) > 0 ? heavyPrefillPenaltyMs : 0;
      const costMs = view.readBacklogMs(context.nowMs) + penaltyMs - savedMs;
      if (costMs >= bestMs) return;
      best = engine;
      bestMs = costMs;
    });
    return best;
  }

  /**
   * Returns the engine for a heavy request: the one that the policy selects, unless another one
   * retains a prefix of the prompt that saves more than the longer wait costs there.
   */
  pickForHeavy(request: SlotRequest): Engine | undefined {
    const { prefixes } = this.dependencies;
    const engine = this.pickByBacklog(request);
    if (engine === undefined || !prefixes.isTracked(request.contract)) return engine;
    const tokens = countMemoryTokens(request.contract);
    const owner = this.findPrefixOwner(request.contract);
    const retaining = this.listLocalHolders(request);
    if (owner !== undefined && this.isUsable(request, owner)) retaining.push(owner);
    const engines = this.listPartition(this.listLocalEngines(request.contract.model), false);
    const holders = retaining.filter(
      (holder) => holder.memoryTokens >= tokens && engines.includes(holder),
    );
    const candidates = [...new Set([engine, ...holders])].map((candidate) =>
      this.createHeavyCandidate(request, candidate, owner),
    );
    const demand = { promptTokens: request.contract.promptTokens, memoryTokens: tokens };
    return pickByPrefixCost(candidates, demand)?.engine;
  }

  /**
   * Returns the engine that the policy's `heavyPlacement` selects, or undefined if none of the
   * candidates is large enough.
   */
  private pickByBacklog(request: SlotRequest): Engine | undefined {
    const { context, findView, policy } = this.dependencies;
    const tokens = countMemoryTokens(request.contract);
    const localEngines = this.listLocalEngines(request.contract.model);
    const fitting = this.listUsable(request, localEngines).filter(
      ({ memoryTokens }) => memoryTokens >= tokens,
    );
    const engines = this.listPartition(fitting, false);
    let best: Engine | undefined;
    let bestMs = Infinity;
    for (const engine of engines) {
      const backlogMs = findView(engine).readHeavyBacklogMs(context.nowMs);
      const prefillMs = estimatePrefillMs(engine, request.contract.promptTokens);
      if (policy.heavyPlacement === 'fillFirst' && backlogMs <= MAX_FILL_BACKLOG_FACTOR * prefillMs)
        return engine;
      if (backlogMs < bestMs) {
        best = engine;
        bestMs = backlogMs;
      }
    }
    return best;
  }

  /**
   * Returns the engine that a request is queued on, or another one if the wait there is much
   * shorter or the current engine is not usable.
   */
  pickForRetry(request: SlotRequest, current: Engine): Engine {
    const { context, findView, membership } = this.dependencies;
    const other = this.pickForHeavy(request);
    if (other === undefined || other === current) return current;
    if (!membership.isUsable(current.id)) return other;
    const waitMs = findView(current).readHeavyBacklogMs(context.nowMs);
    const otherWaitMs = findView(other).readHeavyBacklogMs(context.nowMs);
    const prefillMs = estimatePrefillMs(current, request.contract.promptTokens);
    const lostMs = this.estimateHeavySavedMs(request, current);
    const gainedMs = this.estimateHeavySavedMs(request, other);
    const isShorter = otherWaitMs < MAX_MOVE_WAIT_FRACTION * (waitMs - prefillMs);
    return isShorter && otherWaitMs - gainedMs < waitMs - lostMs ? other : current;
  }

  /** Returns the engine of least cost among a few sampled ones and those that retain the prefix. */
  private pickByPrefix(
    request: SlotRequest,
    peerCount: number,
    creditFraction: number,
  ): Engine | undefined {
    const { context, findView } = this.dependencies;
    const { contract } = request;
    const engines = this.listPartition(this.listLocalEngines(contract.model), true);
    const owner = this.findPrefixEngine(engines, contract.prefixDigests);
    const tokens = countMemoryTokens(contract);
    const holders = this.listLocalHolders(request).filter((engine) => engines.includes(engine));
    const drawn = this.drawUsable(request, engines, owner);
    const candidates = [...new Set([...holders, ...drawn])]
      .filter((engine) =>
        findView(engine).hasCredit(tokens, peerCount, creditFraction, context.nowMs),
      )
      .map((engine) => this.createLightCandidate(request, engine, owner, peerCount));
    const demand = { promptTokens: contract.promptTokens, memoryTokens: tokens };
    return pickByPrefixCost(candidates, demand)?.engine;
  }

  private listLocalHolders(request: SlotRequest): Engine[] {
    const { context, prefixes } = this.dependencies;
    return prefixes
      .listHolders(request.contract)
      .filter(
        (engine) =>
          engine.failureDomain === context.self.failureDomain && this.isUsable(request, engine),
      );
  }

  private createLightCandidate(
    { contract }: SlotRequest,
    engine: Engine,
    owner: Engine | undefined,
    peerCount: number,
  ): PrefixCandidate {
    const { context, findView, prefixes } = this.dependencies;
    const { nowMs } = context;
    const view = findView(engine);
    const { keptTokens, probability } = prefixes.findKept(engine, contract, owner);
    const penaltyMs = view.readHeavyBacklogMs(nowMs) > 0 ? this.estimateHeavyPrefillPenaltyMs() : 0;
    return {
      engine,
      waitMs: view.readBacklogMs(nowMs) + penaltyMs,
      keptTokens,
      probability,
      freeTokens: view.readFreeTokens(peerCount, nowMs),
      retainedTokens: prefixes.countRetainedTokens(engine.id),
      reuseFraction: prefixes.reuseFraction,
    };
  }

  /** A heavy request waits for its memory at the coordinator, so all of the engine's counts as free. */
  private createHeavyCandidate(
    { contract }: SlotRequest,
    engine: Engine,
    owner: Engine | undefined,
  ): PrefixCandidate {
    const { context, findView, prefixes } = this.dependencies;
    const { keptTokens, probability } = prefixes.findKept(engine, contract, owner);
    return {
      engine,
      waitMs: findView(engine).readHeavyBacklogMs(context.nowMs),
      keptTokens,
      probability,
      freeTokens: engine.memoryTokens,
      retainedTokens: prefixes.countRetainedTokens(engine.id),
      reuseFraction: prefixes.reuseFraction,
    };
  }

  private estimateHeavySavedMs({ contract }: SlotRequest, engine: Engine): number {
    if (!this.dependencies.prefixes.isTracked(contract)) return 0;
    const owner = this.findPrefixOwner(contract);
    const kept = this.dependencies.prefixes.findKept(engine, contract, owner);
    return estimateSavedMs({ engine, ...kept }, contract.promptTokens);
  }

  /** Finds the engine that all entry VMs prefer for a prefix while they know of no other. */
  findPrefixOwner({ model, prefixDigests }: ModelContract): Engine | undefined {
    const engines = this.listPartition(this.listLocalEngines(model), true);
    return this.findPrefixEngine(engines, prefixDigests);
  }

  private estimateHeavyPrefillPenaltyMs(): number {
    const { min, max } = HEAVY_PREFILL_PENALTY_MS;
    return max - (max - min) * this.dependencies.readSlowdownWeight();
  }

  private listLocalEngines(model: ModelId): readonly Engine[] {
    const { context, index } = this.dependencies;
    return index.listEngines(model, context.self.failureDomain);
  }

  /**
   * Returns the usable engines of the local failure domain, or of all failure domains if it has
   * none; if no engine is usable at all, those that are declared.
   */
  private listUsable(request: SlotRequest, localEngines: readonly Engine[]): readonly Engine[] {
    const usable = localEngines.filter((engine) => this.isUsable(request, engine));
    if (usable.length > 0) return usable;
    const all = this.dependencies.index.listEngines(request.contract.model);
    const usableElsewhere = all.filter((engine) => this.isUsable(request, engine));
    if (usableElsewhere.length > 0) return usableElsewhere;
    return localEngines.length > 0 ? localEngines : all;
  }

  private isUsable({ failedEngines }: SlotRequest, { id }: Engine): boolean {
    return (
      this.dependencies.membership.isUsable(id) && !failedEngines?.has(id) && this.mayServe(id)
    );
  }

  /** Slow start: an engine that is back after an ejection gets a growing fraction of its traffic. */
  private mayServe(id: EndpointId): boolean {
    const trafficFraction = this.dependencies.membership.readTrafficFraction(id);
    return trafficFraction >= 1 || this.dependencies.context.drawRandom() < trafficFraction;
  }

  /** With `split`, returns the engines of one kind of request; otherwise all engines. */
  private listPartition(engines: readonly Engine[], isLight: boolean): readonly Engine[] {
    if (this.dependencies.policy.heavyPlacement !== 'split' || engines.length < 2) return engines;
    const heavyCount = Math.min(
      engines.length - 1,
      Math.round(engines.length * HEAVY_ENGINE_FRACTION),
    );
    return isLight ? engines.slice(heavyCount) : engines.slice(0, heavyCount);
  }

  /**
   * Returns a sample of usable engines; all engines are checked only if no sampled one is usable.
   */
  private drawUsable(
    request: SlotRequest,
    engines: readonly Engine[],
    preferred: Engine | undefined,
  ): readonly Engine[] {
    const { context } = this.dependencies;
    if (engines.length <= SAMPLED_ENGINES) return this.listUsable(request, engines);
    const sampled = new Set<Engine>();
    if (preferred !== undefined) sampled.add(preferred);
    for (let count = 0; count < SAMPLED_ENGINES; count += 1) {
      const engine = engines[Math.floor(context.drawRandom() * engines.length)];
      if (engine !== undefined) sampled.add(engine);
    }
    const usable = [...sampled].filter((engine) => this.isUsable(request, engine));
    return usable.length > 0 ? usable : this.listUsable(request, engines);
  }

  /**
   * Maps a prompt prefix to an engine by rendezvous hashing, stable while the engine is declared.
   */
  private findPrefixEngine(
    engines: readonly Engine[],
    digests: readonly string[],
  ): Engine | undefined {
    const [first] = digests;
    if (this.dependencies.policy.affinity === 'none' || first === undefined) return undefined;
    const cached = this.prefixEngines.get(first);
    if (cached !== undefined && this.dependencies.index.findEngine(cached.id) === cached)
      return cached;
    const ownerId = findOwner(
      first,
      engines.map(({ id }) => id),
    );
    const engine = engines.find(({ id }) => id === ownerId);
    if (this.prefixEngines.size >= MAX_CACHED_PREFIXES) this.prefixEngines.clear();
    if (engine !== undefined) this.prefixEngines.set(first, engine);
    return engine;
  }
}
