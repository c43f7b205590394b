import type { NodeEffect } from '@savorywind/decisions';
import type { SimulatedStream } from '@savorywind/stand-ins';
import type { PlannedRequest } from '../workload/types.js';
import type { FleetEngine } from './fleet-engine.js';
import type { FleetNetwork } from './fleet-network.js';
import type { FleetNode } from './fleet-node.js';

type AttemptStart = Extract<NodeEffect, { readonly kind: 'attempt.start' }>;

/** Processing time of a plain service, in milliseconds. */
const SERVICE_TIME_MS = 20;

/** Time after which a connection attempt to an unreachable endpoint fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** A stream in progress and the listener for a crash of its engine. */
interface RunningStream {
  readonly engine: FleetEngine;
  readonly streamId: string;
  readonly onEngineCrashed: () => void;
}

/** Simulates attempts of entry VMs at endpoints, with network delays in both directions. */
export class AttemptSimulator {
  private readonly runningStreams = new Map<string, RunningStream>();

  private readonly cancelledBeforeStart = new Set<string>();

  constructor(
    private readonly network: FleetNetwork,
    private readonly engines: ReadonlyMap<string, FleetEngine>,
    private readonly findPlannedRequest: (requestId: string) => PlannedRequest | undefined,
  ) {}

  start(node: FleetNode, start: AttemptStart): void {
    const { attemptId, endpoint } = start;
    const isReachable = this.network.isReachable(node.vm.failureDomain, endpoint.failureDomain);
    const engine = this.engines.get(endpoint.id);
    const isCrashed = engine !== undefined && !engine.isRunning;
    const delayMs = isReachable ? this.network.delayMs : CONNECT_TIMEOUT_MS;
    setTimeout(() => {
      if (!isReachable || isCrashed) {
        node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'notSent' });
      } else if (engine === undefined) this.completeServiceCall(node, attemptId);
      else this.startStream(node, start, engine);
    }, delayMs);
  }

  cancel(attemptId: string): void {
    const stream = this.runningStreams.get(attemptId);
    if (stream === undefined) {
      this.cancelledBeforeStart.add(attemptId);
      return;
    }
    this.releaseStream(attemptId, stream);
  }

  private completeServiceCall(node: FleetNode, attemptId: string): void {
    setTimeout(() => {
      node.dispatch({
        kind: 'attempt.headReceived',
        attemptId,
        head: { status: 200, headers: {} },
      });
      const chunk = { kind: 'attempt.chunkReceived', attemptId, offset: 0 } as const;
      node.dispatch({ ...chunk, count: 1, data: new Uint8Array(1) });
      const end = { kind: 'attempt.ended', attemptId, total: 1, reason: 'complete' } as const;
      node.dispatch({ ...end, usage: undefined });
    }, SERVICE_TIME_MS + this.network.delayMs);
  }

  private startStream(node: FleetNode, start: AttemptStart, engine: FleetEngine): void {
    const { attemptId, streamId, requestId, priority } = start;
    const planned = this.findPlannedRequest(requestId);
    if (planned === undefined || this.cancelledBeforeStart.delete(attemptId)) return;
    const stream = engine.isRunning ? engine.start(streamId, planned, priority) : undefined;
    if (stream === undefined) {
      this.scheduleDelivery(() =>
        node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'rejected' }),
      );
      return;
    }
    const onEngineCrashed = (): void => {
      this.runningStreams.delete(attemptId);
      this.scheduleDelivery(() =>
        node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'broken' }),
      );
    };
    engine.addCrashListener(onEngineCrashed);
    this.runningStreams.set(attemptId, { engine, streamId, onEngineCrashed });
    this.scheduleDelivery(() =>
      node.dispatch({ kind: 'attempt.headReceived', attemptId, head: undefined }),
    );
    this.attachTokenListener(node, attemptId, stream, engine);
  }

  /**
   * Forwards the tokens that the engine simulator reports, and the end of the stream. With the
   * engine setting `pace: 'milestones'` it reports the first token and, at the end, all others.
   */
  private attachTokenListener(
    node: FleetNode,
    attemptId: string,
    stream: SimulatedStream,
    engine: FleetEngine,
  ): void {
    let sentTokens = 0;
    stream.listener = () => {
      const offset = sentTokens;
      const count = stream.tokens.length - sentTokens;
      sentTokens = stream.tokens.length;
      const { finished, tokens } = stream;
      const total = tokens.length;
      if (finished) {
        const runningStream = this.runningStreams.get(attemptId);
        if (runningStream !== undefined) this.releaseStream(attemptId, runningStream);
        engine.simulator.releaseStream(stream.streamId);
      }
      this.scheduleDelivery(() => {
        const chunk = { kind: 'attempt.chunkReceived', attemptId, offset, count } as const;
        if (count > 0) node.dispatch({ ...chunk, data: '' });
        if (!finished) return;
        const end = { kind: 'attempt.ended', attemptId, total, reason: 'stop' } as const;
        const { promptTokens, cachedTokens } = stream;
        node.dispatch({ ...end, usage: { promptTokens, outputTokens: total, cachedTokens } });
      });
    };
  }

  private releaseStream(
    attemptId: string,
    { engine, streamId, onEngineCrashed }: RunningStream,
  ): void {
    this.runningStreams.delete(attemptId);
    engine.removeCrashListener(onEngineCrashed);
    engine.simulator.releaseStream(streamId);
  }

  /** Calls back after the network delay from an endpoint to an entry VM. */
  private scheduleDelivery(onDelivered: () => void): void {
    setTimeout(onDelivered, this.network.delayMs);
  }
}
