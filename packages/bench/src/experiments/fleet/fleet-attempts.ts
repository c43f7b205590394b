import type { NodeEffect } from '@savorywind/decisions';
import type { ModelStream } from '@savorywind/stand-ins';
import type { PlannedRequest } from '../workload/types.js';
import type { FleetEngine } from './fleet-engine.js';
import type { FleetNetwork } from './fleet-network.js';
import type { FleetNode } from './fleet-node.js';

type AttemptStart = Extract<NodeEffect, { readonly kind: 'attempt.start' }>;

/** Time that a plain service takes, in milliseconds. */
const SERVICE_MS = 20;

/** How long a connection attempt to an unreachable endpoint takes, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

interface Running {
  readonly engine: FleetEngine;
  readonly streamId: string;
  readonly breakOff: () => void;
}

/** Carries attempts of entry VMs to engines and services, and their answers back. */
export class FleetAttempts {
  private readonly running = new Map<string, Running>();

  private readonly cancelled = new Set<string>();

  constructor(
    private readonly network: FleetNetwork,
    private readonly engines: ReadonlyMap<string, FleetEngine>,
    private readonly findPlanned: (requestId: string) => PlannedRequest | undefined,
  ) {}

  start(node: FleetNode, start: AttemptStart): void {
    const { attemptId, endpoint } = start;
    const reachable = this.network.isReachable(node.vm.failureDomain, endpoint.failureDomain);
    const engine = this.engines.get(endpoint.id);
    const dead = engine !== undefined && !engine.isAlive;
    const delayMs = reachable ? this.network.delayMs : CONNECT_TIMEOUT_MS;
    setTimeout(() => {
      if (!reachable || dead) {
        node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'notSent' });
      } else if (engine === undefined) this.answerService(node, attemptId);
      else this.startStream(node, start, engine);
    }, delayMs);
  }

  cancel(attemptId: string): void {
    const running = this.running.get(attemptId);
    if (running === undefined) {
      this.cancelled.add(attemptId);
      return;
    }
    this.end(attemptId, running);
  }

  private answerService(node: FleetNode, attemptId: string): void {
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
    }, SERVICE_MS + this.network.delayMs);
  }

  private startStream(node: FleetNode, start: AttemptStart, engine: FleetEngine): void {
    const { attemptId, streamId, requestId, priority } = start;
    const planned = this.findPlanned(requestId);
    if (planned === undefined || this.cancelled.delete(attemptId)) return;
    const stream = engine.isAlive ? engine.start(streamId, planned, priority) : undefined;
    if (stream === undefined) {
      this.report(() => node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'rejected' }));
      return;
    }
    const breakOff = (): void => {
      this.running.delete(attemptId);
      this.report(() => node.dispatch({ kind: 'attempt.failed', attemptId, failure: 'broken' }));
    };
    engine.watchDeath(breakOff);
    this.running.set(attemptId, { engine, streamId, breakOff });
    this.report(() => node.dispatch({ kind: 'attempt.headReceived', attemptId, head: undefined }));
    this.attachReader(node, attemptId, stream, engine);
  }

  /** Passes on the first token when it comes, and the rest in one piece at the end. */
  private attachReader(
    node: FleetNode,
    attemptId: string,
    stream: ModelStream,
    engine: FleetEngine,
  ): void {
    let sent = 0;
    stream.listener = () => {
      const offset = sent;
      const count = stream.tokens.length - sent;
      sent = stream.tokens.length;
      const { finished, tokens } = stream;
      const total = tokens.length;
      if (finished) {
        const running = this.running.get(attemptId);
        if (running !== undefined) this.end(attemptId, running);
        engine.model.releaseStream(stream.streamId);
      }
      this.report(() => {
        const chunk = { kind: 'attempt.chunkReceived', attemptId, offset, count } as const;
        if (count > 0) node.dispatch({ ...chunk, data: '' });
        if (!finished) return;
        const end = { kind: 'attempt.ended', attemptId, total, reason: 'stop' } as const;
        node.dispatch({ ...end, usage: undefined });
      });
    };
  }

  private end(attemptId: string, { engine, streamId, breakOff }: Running): void {
    this.running.delete(attemptId);
    engine.unwatchDeath(breakOff);
    engine.model.releaseStream(streamId);
  }

  private report(deliver: () => void): void {
    setTimeout(deliver, this.network.delayMs);
  }
}
