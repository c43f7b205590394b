import type { EndpointId, Engine, ModelId } from '@savorywind/model';
import type { FleetIndex } from '../fleet-index.js';
import { findOwner } from '../../membership/rendezvous.js';
import type { RouterDependencies, SlotAsk } from '../types.js';
import { countMemoryTokens, estimatePrefillMs } from '../work-estimate.js';
import type { EngineView } from './engine-view.js';
import type { HomePolicy } from './types.js';

/** Engines that are compared for one light request, so that the cost does not grow with the fleet. */
const SAMPLE_SIZE = 5;

/** How much longer a heavy request takes on an engine before the next one is opened to them. */
const FILL_FACTOR = 0.3;

/**
 * Backlog that a light request accepts elsewhere to stay off an engine that reads a heavy prompt, in
 * milliseconds: that engine then reads at full speed. The more the slowdown of short requests
 * weighs, the less they give way.
 */
const GIVE_WAY_MS = { least: 100, most: 700 };

/** Share of a failure domain's engines that are kept for heavy requests where bands are split. */
const HEAVY_SHARE = 0.6;

/** Tokens of a block of the prompt's prefix digests. */
const PREFIX_BLOCK_TOKENS = 512;

/** Prefixes whose engine is remembered. */
const PREFIX_LIMIT = 1_000;

/** Another engine must promise this share of the wait before an ask moves there. */
const MOVE_FACTOR = 0.5;

interface EnginePickerDependencies extends RouterDependencies {
  readonly index: FleetIndex;
  readonly policy: HomePolicy;
  readonly findView: (engine: Engine) => EngineView;
  readonly readSlowdownWeight: () => number;
}

/** Chooses the engine for a light request, and the engine whose home a heavy request asks. */
export class EnginePicker {
  private readonly prefixEngines = new Map<string, Engine>();

  constructor(private readonly dependencies: EnginePickerDependencies) {}

  /** The least busy of a few that are drawn, or undefined where none of them has credit. */
  pickForLight(ask: SlotAsk, peerCount: number, creditPart: number): Engine | undefined {
    const { context, findView } = this.dependencies;
    const { contract } = ask;
    const engines = this.listBand(this.listNear(contract.model), true);
    const preferred = this.findPrefixEngine(engines, contract.prefixDigests);
    const tokens = countMemoryTokens(contract);
    const giveWayMs = this.findGiveWayMs();
    let best: Engine | undefined;
    let bestMs = Infinity;
    this.drawUsable(ask, engines, preferred).forEach((engine) => {
      const view = findView(engine);
      if (!view.hasCredit(tokens, peerCount, creditPart, context.nowMs)) return;
      const savedMs =
        engine === preferred
          ? estimatePrefillMs(engine, contract.prefixDigests.length * PREFIX_BLOCK_TOKENS)
          : 0;
      const heavyMs = view.readHeavyBacklogMs(context.nowMs) > 0 ? giveWayMs : 0;
      const costMs = view.readBacklogMs(context.nowMs) + heavyMs - savedMs;
      if (costMs >= bestMs) return;
      best = engine;
      bestMs = costMs;
    });
    return best;
  }

  pickForHeavy(ask: SlotAsk): Engine | undefined {
    const { context, findView, policy } = this.dependencies;
    const tokens = countMemoryTokens(ask.contract);
    const near = this.listNear(ask.contract.model);
    const fitting = this.listUsable(ask, near).filter(({ memoryTokens }) => memoryTokens >= tokens);
    const engines = this.listBand(fitting, false);
    let best: Engine | undefined;
    let bestMs = Infinity;
    for (const engine of engines) {
      const backlogMs = findView(engine).readHeavyBacklogMs(context.nowMs);
      const workMs = estimatePrefillMs(engine, ask.contract.promptTokens);
      if (policy.heavyPlacement === 'fillFirst' && backlogMs <= FILL_FACTOR * workMs) return engine;
      if (backlogMs < bestMs) {
        best = engine;
        bestMs = backlogMs;
      }
    }
    return best;
  }

  /** The engine that an ask waits for, unless another one is far less busy or this one is gone. */
  pickAgain(ask: SlotAsk, current: Engine): Engine {
    const { context, findView, membership } = this.dependencies;
    const other = this.pickForHeavy(ask);
    if (other === undefined || other === current) return current;
    if (!membership.isUsable(current.id)) return other;
    const waitMs = findView(current).readHeavyBacklogMs(context.nowMs);
    const otherWaitMs = findView(other).readHeavyBacklogMs(context.nowMs);
    const workMs = estimatePrefillMs(current, ask.contract.promptTokens);
    return otherWaitMs < MOVE_FACTOR * (waitMs - workMs) ? other : current;
  }

  private findGiveWayMs(): number {
    const { least, most } = GIVE_WAY_MS;
    return most - (most - least) * this.dependencies.readSlowdownWeight();
  }

  private listNear(model: ModelId): readonly Engine[] {
    const { context, index } = this.dependencies;
    return index.listEngines(model, context.self.failureDomain);
  }

  /** Those of this failure domain that are usable, or of all where it has none. */
  private listUsable(ask: SlotAsk, near: readonly Engine[]): readonly Engine[] {
    const usable = near.filter((engine) => this.isUsable(ask, engine));
    if (usable.length > 0) return usable;
    const all = this.dependencies.index.listEngines(ask.contract.model);
    const anywhere = all.filter((engine) => this.isUsable(ask, engine));
    if (anywhere.length > 0) return anywhere;
    return near.length > 0 ? near : all;
  }

  private isUsable({ avoid }: SlotAsk, { id }: Engine): boolean {
    return this.dependencies.membership.isUsable(id) && !avoid?.has(id) && this.isInShare(id);
  }

  /** An engine that has come back gets a growing share of its usual work. */
  private isInShare(id: EndpointId): boolean {
    const share = this.dependencies.membership.readShare(id);
    return share >= 1 || this.dependencies.context.drawRandom() < share;
  }

  private listBand(engines: readonly Engine[], light: boolean): readonly Engine[] {
    if (this.dependencies.policy.heavyPlacement !== 'split' || engines.length < 2) return engines;
    const heavyCount = Math.min(engines.length - 1, Math.round(engines.length * HEAVY_SHARE));
    return light ? engines.slice(heavyCount) : engines.slice(0, heavyCount);
  }

  /** A few usable engines; all are looked at only where none of the few that are drawn is usable. */
  private drawUsable(
    ask: SlotAsk,
    engines: readonly Engine[],
    preferred: Engine | undefined,
  ): readonly Engine[] {
    const { context } = this.dependencies;
    if (engines.length <= SAMPLE_SIZE) return this.listUsable(ask, engines);
    const sample = new Set<Engine>();
    if (preferred !== undefined) sample.add(preferred);
    for (let count = 0; count < SAMPLE_SIZE; count += 1) {
      const engine = engines[Math.floor(context.drawRandom() * engines.length)];
      if (engine !== undefined) sample.add(engine);
    }
    const usable = [...sample].filter((engine) => this.isUsable(ask, engine));
    return usable.length > 0 ? usable : this.listUsable(ask, engines);
  }

  /** Rendezvous hash: the same prefix goes to the same engine as long as that is there. */
  private findPrefixEngine(
    engines: readonly Engine[],
    digests: readonly string[],
  ): Engine | undefined {
    const [first] = digests;
    if (this.dependencies.policy.affinity === 'none' || first === undefined) return undefined;
    const known = this.prefixEngines.get(first);
    if (known !== undefined && this.dependencies.index.findEngine(known.id) === known) return known;
    const owner = findOwner(
      first,
      engines.map(({ id }) => id),
    );
    const engine = engines.find(({ id }) => id === owner);
    if (this.prefixEngines.size >= PREFIX_LIMIT) this.prefixEngines.clear();
    if (engine !== undefined) this.prefixEngines.set(first, engine);
    return engine;
  }
}
