import { logEvents, type Configuration, type Engine, type EndpointId } from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../context/node-context.js';
import type { EngineStream } from '../context/types.js';
import {
  STREAM_ENTRY_BYTES,
  STREAM_LIST_BYTES_PER_S,
  SWEEP_JITTER_FRACTION,
  SWEEP_INTERVAL_MS,
} from './consts.js';
import { OrphanDetector } from './orphan-detector.js';
import type { StreamListener } from './types.js';

const MS_PER_S = 1_000;

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Pick<Membership, 'findCoordinator' | 'checkOwner'>;
  readonly readConfiguration: () => Configuration | undefined;
}

/**
 * Releases engine memory of orphaned streams: reads the stream lists of the engines that this entry
 * VM coordinates, and cancels streams past their deadline or without a reader. Every coordinator
 * runs it, so that memory is released after the loss of a caller, an entry VM, a coordinator or a
 * link.
 */
export class OrphanSweeper {
  private readonly orphans: OrphanDetector;

  /** Earliest time of the next read of each engine; later for engines with a long list. */
  private readonly nextReadAtMs = new Map<EndpointId, number>();

  private readonly listeners: StreamListener[] = [];

  constructor(private readonly dependencies: Dependencies) {
    this.orphans = new OrphanDetector((owner) => dependencies.membership.checkOwner(owner));
  }

  start(): void {
    this.dependencies.context.schedule(SWEEP_INTERVAL_MS, () => this.sweep());
  }

  /** Registers a listener that is called with each stream list that is read. */
  onStreamsRead(listener: StreamListener): void {
    this.listeners.push(listener);
  }

  private sweep(): void {
    const engines = this.listCoordinatedEngines();
    const ids = new Set(engines.map(({ id }) => id));
    this.orphans.keepEngines((id) => ids.has(id));
    [...this.nextReadAtMs.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.nextReadAtMs.delete(id));
    engines.forEach((engine) => this.readIfDue(engine));
    this.dependencies.context.schedule(this.drawIntervalMs(), () => this.sweep());
  }

  private listCoordinatedEngines(): Engine[] {
    const { context, membership, readConfiguration } = this.dependencies;
    return (readConfiguration()?.endpoints ?? []).filter(
      (endpoint): endpoint is Engine =>
        endpoint.kind === 'engine' && membership.findCoordinator(endpoint) === context.self.id,
    );
  }

  private readIfDue(engine: Engine): void {
    const { context } = this.dependencies;
    if ((this.nextReadAtMs.get(engine.id) ?? 0) > context.nowMs) return;
    context.callEngine(engine, { kind: 'streams.list' }, (reply) => {
      if (reply.ok && reply.val.kind === 'streams') this.handleStreams(engine, reply.val.streams);
    });
  }

  private handleStreams(engine: Engine, streams: readonly EngineStream[]): void {
    const { context } = this.dependencies;
    const readIntervalMs =
      ((streams.length * STREAM_ENTRY_BYTES) / STREAM_LIST_BYTES_PER_S) * MS_PER_S;
    this.nextReadAtMs.set(engine.id, context.nowMs + readIntervalMs);
    this.listeners.forEach((notify) => notify(engine, streams));
    this.orphans.findOrphans(engine.id, streams, context.nowMs).forEach(({ streamId, reason }) => {
      context.log(logEvents.streamReleased, { engine: engine.id, stream: streamId, reason });
      context.callEngine(engine, { kind: 'stream.cancel', streamId }, () => {});
    });
  }

  private drawIntervalMs(): number {
    const { context } = this.dependencies;
    return SWEEP_INTERVAL_MS * (1 + SWEEP_JITTER_FRACTION * (2 * context.drawRandom() - 1));
  }
}
