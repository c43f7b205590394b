import {
  logEvents,
  type Configuration,
  type Engine,
  type EndpointId,
  type MonotonicMs,
  type Result,
} from '@savorywind/model';
import { callEngineWithin } from '../seam/call-engine-within.js';
import type { NodeContext } from '../seam/node-context.js';
import type { EngineCallFailure, EngineReply } from '../seam/types.js';
import {
  ENGINE_REPLY_LIMIT_MS,
  LONGEST_ORDER_DELAY_MS,
  MAX_LOADING_ENGINES,
  ORDER_ROUND_MS,
  ORDER_SEND_LIMIT_MS,
  READ_BACK_MS,
} from './consts.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { OrderedPlacement } from './types.js';

/** What the holder knows of one engine. */
interface EngineRecord {
  engine: Engine;
  /** `unknown`: to be read. `loading`: ordered, not reached. `reached`: serves what is declared. */
  state: 'unknown' | 'loading' | 'reached';
  busy: boolean;
  readAtMs: MonotonicMs | undefined;
  /** Before it no order is given, since the engine refused one. */
  orderAtMs: MonotonicMs;
  /** Until then an earlier order may still arrive at an engine that ignores fencing. */
  quietUntilMs: MonotonicMs;
}

interface Dependencies {
  readonly context: NodeContext;
  readonly lease: LeaseKeeper;
  readonly readConfiguration: () => Configuration | undefined;
}

const describeDeclared = ({ model, placement }: Engine): OrderedPlacement | undefined =>
  placement && { model, ...placement };

const matchesPlacement = (a: OrderedPlacement, b: OrderedPlacement): boolean =>
  a.model === b.model &&
  a.version === b.version &&
  a.role === b.role &&
  JSON.stringify([...a.adapters].sort()) === JSON.stringify([...b.adapters].sort());

/**
 * Brings the engines of a failure domain to what is declared, while this entry VM holds the lease.
 * Each engine is read before it is ordered, gets one order at a time, and is read back after it.
 */
export class OrderGiver {
  private readonly records = new Map<EndpointId, EngineRecord>();

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.dependencies.context.schedule(ORDER_ROUND_MS, () => {
      this.start();
      this.runRound();
    });
  }

  /** A new lease: what an earlier holder did is not known. */
  reset(): void {
    this.records.clear();
  }

  private runRound(): void {
    if (this.dependencies.lease.fencing === undefined) return;
    const engines = this.listEngines();
    const declared = new Set(engines.map(({ id }) => id));
    [...this.records.keys()]
      .filter((id) => !declared.has(id))
      .forEach((id) => this.records.delete(id));
    engines.forEach((engine) => this.visit(engine));
  }

  /** Engines of this failure domain for which a placement is declared. */
  listEngines(): Engine[] {
    const { context, readConfiguration } = this.dependencies;
    return (readConfiguration()?.endpoints ?? []).filter(
      (endpoint): endpoint is Engine =>
        endpoint.kind === 'engine' &&
        endpoint.failureDomain === context.self.failureDomain &&
        endpoint.placement !== undefined,
    );
  }

  private visit(engine: Engine): void {
    const record = this.findRecord(engine);
    if (record.busy || !this.isDue(record)) return;
    record.busy = true;
    this.readBack(record);
  }

  private findRecord(engine: Engine): EngineRecord {
    const found = this.records.get(engine.id);
    if (found === undefined) {
      const quietUntilMs = (this.dependencies.lease.takenAtMs ?? 0) + LONGEST_ORDER_DELAY_MS;
      const record: EngineRecord = {
        engine,
        state: 'unknown',
        busy: false,
        readAtMs: undefined,
        orderAtMs: 0,
        quietUntilMs,
      };
      this.records.set(engine.id, record);
      return record;
    }
    if (JSON.stringify(found.engine) !== JSON.stringify(engine)) {
      found.engine = engine;
      if (found.state === 'reached') found.state = 'unknown';
    }
    return found;
  }

  private isDue({ state, readAtMs }: EngineRecord): boolean {
    if (state !== 'reached' || readAtMs === undefined) return true;
    return this.dependencies.context.nowMs - readAtMs >= READ_BACK_MS;
  }

  private readBack(record: EngineRecord): void {
    this.call(record, { kind: 'placement.read' }, (reply) => {
      record.busy = false;
      if (reply.err || reply.val.kind !== 'placement') return;
      record.readAtMs = this.dependencies.context.nowMs;
      const { placement, loading, fencing } = reply.val;
      this.dependencies.lease.acceptSeenFencing(fencing ?? 0);
      this.compare(record, placement, loading);
    });
  }

  private compare(
    record: EngineRecord,
    found: OrderedPlacement,
    loading: OrderedPlacement | undefined,
  ): void {
    const declared = describeDeclared(record.engine);
    if (declared === undefined) return;
    const isLoading = loading !== undefined && matchesPlacement(loading, declared);
    if (loading === undefined && matchesPlacement(found, declared)) {
      this.acceptReached(record);
    } else if (isLoading) {
      record.state = 'loading';
    } else {
      record.state = 'unknown';
      this.order(record, declared);
    }
  }

  private acceptReached(record: EngineRecord): void {
    if (record.state !== 'reached') {
      const { id } = record.engine;
      this.dependencies.context.log(logEvents.placementReached, { endpoint: id });
    }
    record.state = 'reached';
  }

  private order(record: EngineRecord, placement: OrderedPlacement): void {
    const { context, lease } = this.dependencies;
    const { engine } = record;
    const { fencing } = lease;
    if (fencing === undefined || !this.mayOrder(record)) return;
    record.busy = true;
    record.state = 'loading';
    record.quietUntilMs = context.nowMs + LONGEST_ORDER_DELAY_MS;
    context.log(logEvents.orderGiven, { endpoint: engine.id, fencing, version: placement.version });
    const sendBeforeMs = context.nowMs + ORDER_SEND_LIMIT_MS;
    const call = { kind: 'order.give', fencing, placement, sendBeforeMs } as const;
    this.call(record, call, (reply) => {
      record.busy = false;
      this.acceptOrderReply(record, reply);
    });
  }

  /** Where fencing is ignored, an earlier order of anybody must have arrived before the next. */
  private mayOrder({ engine, orderAtMs, quietUntilMs }: EngineRecord): boolean {
    const loading = [...this.records.values()].filter(({ state }) => state === 'loading');
    const { nowMs } = this.dependencies.context;
    if (loading.length >= MAX_LOADING_ENGINES || nowMs < orderAtMs) return false;
    return engine.fencing === 'checked' || nowMs >= quietUntilMs;
  }

  private acceptOrderReply(
    record: EngineRecord,
    reply: Result<EngineReply, EngineCallFailure>,
  ): void {
    const { context, lease } = this.dependencies;
    const endpoint = record.engine.id;
    if (reply.ok) {
      // An engine that answered has taken the order: nothing of it is still under way.
      record.quietUntilMs = context.nowMs;
      return;
    }
    record.state = 'unknown';
    if (reply.val === 'refused') {
      context.log(logEvents.orderRefused, { endpoint, fencing: lease.fencing });
      record.orderAtMs = context.nowMs + READ_BACK_MS;
      return;
    }
    if (reply.val === 'unsent') record.quietUntilMs = context.nowMs;
    else context.log(logEvents.orderUnanswered, { endpoint });
  }

  private call(
    record: EngineRecord,
    call: Parameters<typeof callEngineWithin>[2],
    listener: (reply: Result<EngineReply, EngineCallFailure>) => void,
  ): void {
    const { context } = this.dependencies;
    callEngineWithin(context, record.engine, call, ENGINE_REPLY_LIMIT_MS, (reply) => {
      // A record of an earlier lease is no longer looked at.
      if (this.records.get(record.engine.id) === record) listener(reply);
    });
  }
}
