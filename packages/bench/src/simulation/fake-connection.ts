import type { NodeEvent } from '@savorywind/decisions';
import type { FakeNetwork, NetworkLocation } from './fake-network.js';

/** An event of one attempt that an endpoint or the network reports, without the attempt's id. */
export type AttemptReport =
  | { readonly kind: 'headReceived'; readonly status?: number }
  | {
      readonly kind: 'chunkReceived';
      readonly offset: number;
      readonly data: string;
      readonly count?: number;
    }
  | { readonly kind: 'ended'; readonly total: number }
  | { readonly kind: 'failed'; readonly failure: 'notSent' | 'rejected' | 'broken' | 'invalid' };

type Formatters = {
  readonly [Kind in AttemptReport['kind']]: (
    attemptId: string,
    report: Extract<AttemptReport, { readonly kind: Kind }>,
  ) => NodeEvent;
};

const formatters: Formatters = {
  headReceived: (attemptId, { status }) => ({
    kind: 'attempt.headReceived',
    attemptId,
    head: status === undefined ? undefined : { status, headers: {} },
  }),
  chunkReceived: (attemptId, { offset, data, count = 1 }) => ({
    kind: 'attempt.chunkReceived',
    attemptId,
    offset,
    count,
    data,
  }),
  ended: (attemptId, { total }) => ({
    kind: 'attempt.ended',
    attemptId,
    total,
    reason: 'length',
    usage: undefined,
  }),
  failed: (attemptId, { failure }) => ({ kind: 'attempt.failed', attemptId, failure }),
};

/** Time until the entry VM detects that a network partition has broken a connection. */
const PARTITION_DETECTION_MS = 1_000;

/** Simulated TCP connection between an entry VM and an endpoint; delivers reports in order. */
export class FakeConnection {
  private open = true;

  private lastDueMs = 0;

  /** Called when the connection is closed by the entry VM or fails. */
  onClosed: (() => void) | undefined;

  constructor(
    readonly attemptId: string,
    readonly entryVmLocation: NetworkLocation,
    readonly endpointLocation: NetworkLocation,
    private readonly network: FakeNetwork,
    private readonly deliver: (event: NodeEvent) => void,
  ) {}

  get isOpen(): boolean {
    return this.open;
  }

  /** Delivers a report after the network delay; breaks the connection if the VM is unreachable. */
  report(report: AttemptReport): void {
    if (!this.open) return;
    if (!this.network.isReachable(this.entryVmLocation, this.endpointLocation)) {
      this.fail();
      return;
    }
    if (report.kind === 'ended' || report.kind === 'failed') this.open = false;
    this.scheduleDelivery(report, this.network.drawDelayMs());
  }

  /** Breaks the connection on behalf of the network or the endpoint. */
  fail(): void {
    if (!this.open) return;
    this.open = false;
    const isPartitioned = !this.network.isReachable(this.entryVmLocation, this.endpointLocation);
    this.scheduleDelivery(
      { kind: 'failed', failure: 'broken' },
      isPartitioned ? PARTITION_DETECTION_MS : 0,
    );
    this.onClosed?.();
  }

  /** Closes the connection on behalf of the entry VM, which cancels the attempt or has ended. */
  close(): void {
    if (!this.open) return;
    this.open = false;
    setTimeout(() => this.onClosed?.(), this.network.drawDelayMs());
  }

  private scheduleDelivery(report: AttemptReport, delayMs: number): void {
    const dueMs = Math.max(this.lastDueMs, performance.now() + delayMs);
    this.lastDueMs = dueMs;
    const format = formatters[report.kind] as (id: string, report: AttemptReport) => NodeEvent;
    setTimeout(() => this.deliver(format(this.attemptId, report)), dueMs - performance.now());
  }
}
