import { logEvents, type Configuration, type Engine, type EndpointId } from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../seam/node-context.js';
import type { EngineStream } from '../seam/types.js';
import {
  STREAM_ENTRY_BYTES,
  STREAM_LIST_BYTES_PER_S,
  SWEEP_JITTER_SHARE,
  SWEEP_MS,
} from './consts.js';
import { OrphanWatch } from './orphan-watch.js';
import type { StreamListener } from './types.js';

const MS_PER_S = 1_000;

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Pick<Membership, 'findHome' | 'judgeOwner'>;
  readonly readConfiguration: () => Configuration | undefined;
}

/**
 * Takes back memory that nobody holds: reads the stream lists of the engines whose home this entry
 * VM is, and cancels streams past their deadline or without a reader. Runs on every home, so that
 * memory comes back after the death of a caller, an entry VM, a home or a link.
 */
export class EngineSweeper {
  private readonly watch: OrphanWatch;

  /** When each engine is read next; the future for those whose list is long. */
  private readonly dueMs = new Map<EndpointId, number>();

  private readonly listeners: StreamListener[] = [];

  constructor(private readonly dependencies: Dependencies) {
    this.watch = new OrphanWatch((owner) => dependencies.membership.judgeOwner(owner));
  }

  start(): void {
    this.dependencies.context.schedule(SWEEP_MS, () => this.sweep());
  }

  /** Calls the listener with each stream list that is read. */
  onStreamsRead(listener: StreamListener): void {
    this.listeners.push(listener);
  }

  private sweep(): void {
    const engines = this.listOwnEngines();
    const ids = new Set(engines.map(({ id }) => id));
    this.watch.keepEngines((id) => ids.has(id));
    [...this.dueMs.keys()].filter((id) => !ids.has(id)).forEach((id) => this.dueMs.delete(id));
    engines.forEach((engine) => this.readIfDue(engine));
    this.dependencies.context.schedule(this.drawPauseMs(), () => this.sweep());
  }

  private listOwnEngines(): Engine[] {
    const { context, membership, readConfiguration } = this.dependencies;
    return (readConfiguration()?.endpoints ?? []).filter(
      (endpoint): endpoint is Engine =>
        endpoint.kind === 'engine' && membership.findHome(endpoint) === context.self.id,
    );
  }

  private readIfDue(engine: Engine): void {
    const { context } = this.dependencies;
    if ((this.dueMs.get(engine.id) ?? 0) > context.nowMs) return;
    context.callEngine(engine, { kind: 'streams.list' }, (reply) => {
      if (reply.ok && reply.val.kind === 'streams') this.acceptStreams(engine, reply.val.streams);
    });
  }

  private acceptStreams(engine: Engine, streams: readonly EngineStream[]): void {
    const { context } = this.dependencies;
    const listMs = ((streams.length * STREAM_ENTRY_BYTES) / STREAM_LIST_BYTES_PER_S) * MS_PER_S;
    this.dueMs.set(engine.id, context.nowMs + listMs);
    this.listeners.forEach((notify) => notify(engine, streams));
    this.watch.acceptStreams(engine.id, streams, context.nowMs).forEach(({ streamId, reason }) => {
      context.log(logEvents.streamReleased, { engine: engine.id, stream: streamId, reason });
      context.callEngine(engine, { kind: 'stream.cancel', streamId }, () => {});
    });
  }

  private drawPauseMs(): number {
    const { context } = this.dependencies;
    return SWEEP_MS * (1 + SWEEP_JITTER_SHARE * (2 * context.drawRandom() - 1));
  }
}
