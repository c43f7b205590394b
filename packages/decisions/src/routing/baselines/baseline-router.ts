import { resultCodes, type EndpointId, type Engine, type RequestId } from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import { FleetIndex } from '../fleet-index.js';
import type { Router, RouterDependencies, SlotAsk, SlotListener } from '../types.js';
import { countMemoryTokens } from '../work-estimate.js';
import type { EnginePicker, FleetView } from './types.js';

const RETRY_AFTER_MS = 1_000;

/** How often the load of an engine is read, in milliseconds. */
const LOAD_POLL_MS = 500;

/** Waiting requests that are looked at when an engine gets room. */
const SCAN_LIMIT = 32;

interface Slot {
  readonly engine: Engine;
  readonly tokens: number;
}

interface Waiting {
  readonly ask: SlotAsk;
  readonly listener: SlotListener;
}

interface EngineLoadView {
  usedTokens: number;
  /** Placed from here since the report that was read last. */
  placedTokens: number;
  ownTokens: number;
}

/**
 * First come first served, on an engine that a picker chooses among those with room by their lagged
 * load. Kept for comparison: no accounts, no priorities, no admission.
 */
export class BaselineRouter implements Router, FleetView {
  readonly context;

  private readonly index: FleetIndex;

  private readonly slots = new Map<RequestId, Slot>();

  private readonly loads = new Map<EndpointId, EngineLoadView>();

  private readonly waiting = new Map<RequestId, Waiting>();

  private pollTimer: Timer | undefined;

  constructor(
    private readonly dependencies: RouterDependencies,
    private readonly pick: EnginePicker,
  ) {
    this.context = dependencies.context;
    this.index = new FleetIndex(dependencies.readConfiguration);
  }

  start(): void {
    this.pollTimer?.cancel();
    this.pollLoads();
  }

  askSlot(ask: SlotAsk, listener: SlotListener): void {
    const { contract } = ask;
    if (this.index.listEngines(contract.model).length === 0) {
      const refusal = { code: resultCodes.noEndpoint, ran: 'no' } as const;
      listener({ kind: 'refused', refusal: { ...refusal, retryAfterMs: RETRY_AFTER_MS } });
      return;
    }
    if (this.index.findLargestMemory(contract.model) < countMemoryTokens(contract)) {
      listener({ kind: 'refused', refusal: { code: resultCodes.promptTooLong, ran: 'no' } });
      return;
    }
    this.waiting.set(contract.requestId, { ask, listener });
    this.grantWaiting();
  }

  withdrawAsk(requestId: RequestId): void {
    this.waiting.delete(requestId);
  }

  // eslint-disable-next-line class-methods-use-this
  recordFirstToken(): void {}

  // eslint-disable-next-line class-methods-use-this
  acceptMessage(): void {}

  releaseSlot(requestId: RequestId): void {
    const slot = this.slots.get(requestId);
    if (slot === undefined) return;
    this.slots.delete(requestId);
    this.findLoad(slot.engine.id).ownTokens -= slot.tokens;
    this.grantWaiting();
  }

  estimateUsedTokens(engine: EndpointId): number {
    const { usedTokens, placedTokens } = this.findLoad(engine);
    return usedTokens + placedTokens;
  }

  countOwnTokens(engine: EndpointId): number {
    return this.findLoad(engine).ownTokens;
  }

  private pollLoads(): void {
    const models = new Set(this.dependencies.readConfiguration()?.models.map(({ id }) => id) ?? []);
    models.forEach((model) =>
      this.index.listEngines(model).forEach((engine) => this.readLoad(engine)),
    );
    this.pollTimer = this.context.schedule(LOAD_POLL_MS, () => this.pollLoads());
  }

  private readLoad(engine: Engine): void {
    this.context.callEngine(engine, { kind: 'load.read' }, (reply) => {
      if (reply.err || reply.val.kind !== 'load') return;
      const load = this.findLoad(engine.id);
      load.usedTokens = reply.val.load.usedMemoryTokens;
      load.placedTokens = 0;
      this.grantWaiting();
    });
  }

  private grantWaiting(): void {
    const granted: (() => void)[] = [];
    let scanned = 0;
    for (const [requestId, { ask, listener }] of this.waiting) {
      scanned += 1;
      if (scanned > SCAN_LIMIT) break;
      const engine = this.findEngine(ask);
      if (engine === undefined) continue;
      this.waiting.delete(requestId);
      this.takeSlot(requestId, engine, countMemoryTokens(ask.contract));
      granted.push(() => listener({ kind: 'granted', engine, priority: 0 }));
    }
    granted.forEach((notify) => notify());
  }

  private takeSlot(requestId: RequestId, engine: Engine, tokens: number): void {
    const load = this.findLoad(engine.id);
    load.placedTokens += tokens;
    load.ownTokens += tokens;
    this.slots.set(requestId, { engine, tokens });
  }

  private findEngine(ask: SlotAsk): Engine | undefined {
    const { membership } = this.dependencies;
    const tokens = countMemoryTokens(ask.contract);
    const fitting = this.index.listEngines(ask.contract.model).filter((engine) => {
      const used = Math.max(this.estimateUsedTokens(engine.id), this.countOwnTokens(engine.id));
      return engine.memoryTokens - used >= tokens && membership.isUsable(engine.id);
    });
    const untried = fitting.filter(({ id }) => !ask.avoid?.has(id));
    const candidates = untried.length > 0 ? untried : fitting;
    return candidates.length === 0 ? undefined : this.pick(candidates, this);
  }

  private findLoad(engine: EndpointId): EngineLoadView {
    let load = this.loads.get(engine);
    if (load === undefined) {
      load = { usedTokens: 0, placedTokens: 0, ownTokens: 0 };
      this.loads.set(engine, load);
    }
    return load;
  }
}
