import { resultCodes, type EndpointId, type Engine, type RequestId } from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import { FleetIndex } from '../fleet-index.js';
import type { Router, RouterDependencies, SlotRequest, SlotListener } from '../types.js';
import { countMemoryTokens } from '../work-estimate.js';
import type { EnginePicker, FleetView } from './types.js';

/** Retry-after time of a refusal because no engine serves the model, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Interval at which the load of each engine is read, in milliseconds. */
const LOAD_POLL_MS = 500;

/** Largest number of waiting requests that are checked each time requests are placed. */
const MAX_SCANNED_REQUESTS = 32;

interface Slot {
  readonly engine: Engine;
  readonly tokens: number;
}

interface WaitingRequest {
  readonly request: SlotRequest;
  readonly listener: SlotListener;
}

interface EngineLoad {
  usedTokens: number;
  /** Tokens that this entry VM placed since the last load report. */
  placedTokens: number;
  /** Tokens of all slots that this entry VM holds on the engine. */
  localTokens: number;
}

/**
 * Serves requests in order of arrival, on an engine that a picker chooses among those whose last
 * reported load leaves enough memory. A baseline for comparison: it has no coordination between
 * entry VMs, no priorities and no admission control.
 */
export class BaselineRouter implements Router, FleetView {
  readonly context;

  private readonly index: FleetIndex;

  private readonly slots = new Map<RequestId, Slot>();

  private readonly loads = new Map<EndpointId, EngineLoad>();

  private readonly waiting = new Map<RequestId, WaitingRequest>();

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

  requestSlot(request: SlotRequest, listener: SlotListener): void {
    const { contract } = request;
    if (this.index.listEngines(contract.model).length === 0) {
      const refusal = { code: resultCodes.noEndpoint, ran: 'no' } as const;
      listener({ kind: 'refused', refusal: { ...refusal, retryAfterMs: RETRY_AFTER_MS } });
      return;
    }
    if (this.index.findLargestMemoryTokens(contract.model) < countMemoryTokens(contract)) {
      listener({ kind: 'refused', refusal: { code: resultCodes.promptTooLong, ran: 'no' } });
      return;
    }
    this.waiting.set(contract.requestId, { request, listener });
    this.placeWaiting();
  }

  cancelSlotRequest(requestId: RequestId): void {
    this.waiting.delete(requestId);
  }

  // eslint-disable-next-line class-methods-use-this
  recordFirstToken(): void {}

  // eslint-disable-next-line class-methods-use-this
  recordUsage(): void {}

  // eslint-disable-next-line class-methods-use-this
  handleMessage(): void {}

  releaseSlot(requestId: RequestId): void {
    const slot = this.slots.get(requestId);
    if (slot === undefined) return;
    this.slots.delete(requestId);
    this.findLoad(slot.engine.id).localTokens -= slot.tokens;
    this.placeWaiting();
  }

  estimateUsedTokens(engine: EndpointId): number {
    const { usedTokens, placedTokens } = this.findLoad(engine);
    return usedTokens + placedTokens;
  }

  countLocalTokens(engine: EndpointId): number {
    return this.findLoad(engine).localTokens;
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
      this.placeWaiting();
    });
  }

  private placeWaiting(): void {
    const granted: (() => void)[] = [];
    let scanned = 0;
    for (const [requestId, { request, listener }] of this.waiting) {
      scanned += 1;
      if (scanned > MAX_SCANNED_REQUESTS) break;
      const engine = this.findEngine(request);
      if (engine === undefined) continue;
      this.waiting.delete(requestId);
      this.takeSlot(requestId, engine, countMemoryTokens(request.contract));
      granted.push(() => listener({ kind: 'granted', engine, priority: 0 }));
    }
    granted.forEach((notify) => notify());
  }

  private takeSlot(requestId: RequestId, engine: Engine, tokens: number): void {
    const load = this.findLoad(engine.id);
    load.placedTokens += tokens;
    load.localTokens += tokens;
    this.slots.set(requestId, { engine, tokens });
  }

  private findEngine(request: SlotRequest): Engine | undefined {
    const { membership } = this.dependencies;
    const tokens = countMemoryTokens(request.contract);
    const fitting = this.index.listEngines(request.contract.model).filter((engine) => {
      const used = Math.max(this.estimateUsedTokens(engine.id), this.countLocalTokens(engine.id));
      return engine.memoryTokens - used >= tokens && membership.isUsable(engine.id);
    });
    const untried = fitting.filter(({ id }) => !request.failedEngines?.has(id));
    const candidates = untried.length > 0 ? untried : fitting;
    return candidates.length === 0 ? undefined : this.pick(candidates, this);
  }

  private findLoad(engine: EndpointId): EngineLoad {
    let load = this.loads.get(engine);
    if (load === undefined) {
      load = { usedTokens: 0, placedTokens: 0, localTokens: 0 };
      this.loads.set(engine, load);
    }
    return load;
  }
}
