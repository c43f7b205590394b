import {
  logEvents,
  type Configuration,
  type Engine,
  type EndpointId,
  type MonotonicMs,
  type Result,
} from '@savorywind/model';
import { callEngineWithTimeout } from '../context/call-engine-with-timeout.js';
import type { NodeContext } from '../context/node-context.js';
import type { EngineCallFailure, EngineReply } from '../context/types.js';
import {
  ENGINE_REPLY_TIMEOUT_MS,
  MAX_ORDER_DELAY_MS,
  MAX_LOADING_ENGINES,
  RECONCILE_INTERVAL_MS,
  ORDER_SEND_TIMEOUT_MS,
  PLACEMENT_CHECK_INTERVAL_MS,
} from './consts.js';
import type { LeaseManager } from './lease-manager.js';
import type { OrderedPlacement } from './types.js';

/** What the lease holder knows about the placement of one engine. */
interface EngineProgress {
  engine: Engine;
  /** `unknown`: must be read. `loading`: ordered. `reached`: serves the declared placement. */
  state: 'unknown' | 'loading' | 'reached';
  hasCallInFlight: boolean;
  /** When the placement was last read. */
  readAtMs: MonotonicMs | undefined;
  /** Earliest time of the next order; set after the engine refused one. */
  orderAtMs: MonotonicMs;
  /** Time until which an earlier order may still arrive; matters if the engine ignores fencing. */
  earlierOrderUntilMs: MonotonicMs;
}

interface Dependencies {
  readonly context: NodeContext;
  readonly lease: LeaseManager;
  readonly readConfiguration: () => Configuration | undefined;
}

const findDeclaredPlacement = ({ model, placement }: Engine): OrderedPlacement | undefined =>
  placement && { model, ...placement };

const matchesPlacement = (a: OrderedPlacement, b: OrderedPlacement): boolean =>
  a.model === b.model &&
  a.version === b.version &&
  a.role === b.role &&
  JSON.stringify([...a.adapters].sort()) === JSON.stringify([...b.adapters].sort());

/**
 * Reconciles the engines of a failure domain with their declared placement while this entry VM
 * holds the lease. It reads an engine's placement before each order and again after it, and sends
 * one order at a time to an engine.
 */
export class PlacementReconciler {
  private readonly progressByEngine = new Map<EndpointId, EngineProgress>();

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.dependencies.context.schedule(RECONCILE_INTERVAL_MS, () => {
      this.start();
      this.reconcile();
    });
  }

  /** Forgets all engines: after a new lease, the orders of an earlier holder are not known. */
  reset(): void {
    this.progressByEngine.clear();
  }

  private reconcile(): void {
    if (this.dependencies.lease.fencing === undefined) return;
    const engines = this.listEngines();
    const declared = new Set(engines.map(({ id }) => id));
    [...this.progressByEngine.keys()]
      .filter((id) => !declared.has(id))
      .forEach((id) => this.progressByEngine.delete(id));
    engines.forEach((engine) => this.checkIfDue(engine));
  }

  /** Returns the engines of this failure domain that have a declared placement. */
  listEngines(): Engine[] {
    const { context, readConfiguration } = this.dependencies;
    return (readConfiguration()?.endpoints ?? []).filter(
      (endpoint): endpoint is Engine =>
        endpoint.kind === 'engine' &&
        endpoint.failureDomain === context.self.failureDomain &&
        endpoint.placement !== undefined,
    );
  }

  private checkIfDue(engine: Engine): void {
    const progress = this.findProgress(engine);
    if (progress.hasCallInFlight || !this.isDue(progress)) return;
    progress.hasCallInFlight = true;
    this.readPlacement(progress);
  }

  /**
   * Finds or creates the state of an engine. Orders of an earlier holder may still arrive for a
   * time after the lease was taken.
   */
  private findProgress(engine: Engine): EngineProgress {
    const current = this.progressByEngine.get(engine.id);
    if (current === undefined) {
      const earlierOrderUntilMs = (this.dependencies.lease.acquiredAtMs ?? 0) + MAX_ORDER_DELAY_MS;
      const progress: EngineProgress = {
        engine,
        state: 'unknown',
        hasCallInFlight: false,
        readAtMs: undefined,
        orderAtMs: 0,
        earlierOrderUntilMs,
      };
      this.progressByEngine.set(engine.id, progress);
      return progress;
    }
    if (JSON.stringify(current.engine) !== JSON.stringify(engine)) {
      current.engine = engine;
      if (current.state === 'reached') current.state = 'unknown';
    }
    return current;
  }

  private isDue({ state, readAtMs }: EngineProgress): boolean {
    if (state !== 'reached' || readAtMs === undefined) return true;
    return this.dependencies.context.nowMs - readAtMs >= PLACEMENT_CHECK_INTERVAL_MS;
  }

  private readPlacement(progress: EngineProgress): void {
    this.callEngine(progress, { kind: 'placement.read' }, (reply) => {
      progress.hasCallInFlight = false;
      if (reply.err || reply.val.kind !== 'placement') return;
      progress.readAtMs = this.dependencies.context.nowMs;
      const { placement, loading, fencing } = reply.val;
      this.dependencies.lease.recordSeenFencing(fencing ?? 0);
      this.comparePlacement(progress, placement, loading);
    });
  }

  private comparePlacement(
    progress: EngineProgress,
    current: OrderedPlacement,
    loading: OrderedPlacement | undefined,
  ): void {
    const declared = findDeclaredPlacement(progress.engine);
    if (declared === undefined) return;
    const isLoading = loading !== undefined && matchesPlacement(loading, declared);
    if (loading === undefined && matchesPlacement(current, declared)) {
      this.recordReached(progress);
    } else if (isLoading) {
      progress.state = 'loading';
    } else {
      progress.state = 'unknown';
      this.sendOrder(progress, declared);
    }
  }

  private recordReached(progress: EngineProgress): void {
    if (progress.state !== 'reached') {
      const { id } = progress.engine;
      this.dependencies.context.log(logEvents.placementReached, { endpoint: id });
    }
    progress.state = 'reached';
  }

  private sendOrder(progress: EngineProgress, placement: OrderedPlacement): void {
    const { context, lease } = this.dependencies;
    const { engine } = progress;
    const { fencing } = lease;
    if (fencing === undefined || !this.maySendOrder(progress)) return;
    progress.hasCallInFlight = true;
    progress.state = 'loading';
    progress.earlierOrderUntilMs = context.nowMs + MAX_ORDER_DELAY_MS;
    context.log(logEvents.orderGiven, { endpoint: engine.id, fencing, version: placement.version });
    const sendBeforeMs = context.nowMs + ORDER_SEND_TIMEOUT_MS;
    const call = { kind: 'order.give', fencing, placement, sendBeforeMs } as const;
    this.callEngine(progress, call, (reply) => {
      progress.hasCallInFlight = false;
      this.handleOrderReply(progress, reply);
    });
  }

  /**
   * Whether an order may be sent now: not too many engines are loading, and the delay after a refused
   * order is over. An engine that ignores fencing also gets no order while an earlier one, possibly
   * of another holder, may still arrive.
   */
  private maySendOrder({ engine, orderAtMs, earlierOrderUntilMs }: EngineProgress): boolean {
    const loading = [...this.progressByEngine.values()].filter(({ state }) => state === 'loading');
    const { nowMs } = this.dependencies.context;
    if (loading.length >= MAX_LOADING_ENGINES || nowMs < orderAtMs) return false;
    return engine.fencing === 'checked' || nowMs >= earlierOrderUntilMs;
  }

  private handleOrderReply(
    progress: EngineProgress,
    reply: Result<EngineReply, EngineCallFailure>,
  ): void {
    const { context, lease } = this.dependencies;
    const endpoint = progress.engine.id;
    if (reply.ok) {
      // The engine has received this order, so it can no longer arrive late.
      progress.earlierOrderUntilMs = context.nowMs;
      return;
    }
    progress.state = 'unknown';
    if (reply.val === 'refused') {
      context.log(logEvents.orderRefused, { endpoint, fencing: lease.fencing });
      progress.orderAtMs = context.nowMs + PLACEMENT_CHECK_INTERVAL_MS;
      return;
    }
    if (reply.val === 'unsent') progress.earlierOrderUntilMs = context.nowMs;
    else context.log(logEvents.orderUnanswered, { endpoint });
  }

  private callEngine(
    progress: EngineProgress,
    call: Parameters<typeof callEngineWithTimeout>[2],
    listener: (reply: Result<EngineReply, EngineCallFailure>) => void,
  ): void {
    const { context } = this.dependencies;
    callEngineWithTimeout(context, progress.engine, call, ENGINE_REPLY_TIMEOUT_MS, (reply) => {
      // Ignores replies to calls that were sent under an earlier lease.
      if (this.progressByEngine.get(progress.engine.id) === progress) listener(reply);
    });
  }
}
