import type { NodeEvent } from '@savorywind/decisions';
import type { FakeNetwork, Place } from './network.js';

/** What an endpoint or its network reports of one attempt, without the attempt's id. */
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

/** How long a connection that is cut stays silent before it breaks. */
const CUT_NOTICE_MS = 1_000;

/** One TCP connection between an entry VM and an endpoint: in order, until it breaks. */
export class FakeConnection {
  private open = true;

  private lastDueMs = 0;

  /** Told when the entry VM's side goes away. */
  onClosed: (() => void) | undefined;

  constructor(
    readonly attemptId: string,
    readonly near: Place,
    readonly far: Place,
    private readonly network: FakeNetwork,
    private readonly deliver: (event: NodeEvent) => void,
  ) {}

  get isOpen(): boolean {
    return this.open;
  }

  /** Carries a report to the entry VM. */
  report(report: AttemptReport): void {
    if (!this.open) return;
    if (!this.network.isReachable(this.near, this.far)) {
      this.breakOff();
      return;
    }
    if (report.kind === 'ended' || report.kind === 'failed') this.open = false;
    this.deliverLater(report, this.network.drawDelayMs());
  }

  /** The network or the endpoint breaks the connection. */
  breakOff(): void {
    if (!this.open) return;
    this.open = false;
    const cut = !this.network.isReachable(this.near, this.far);
    this.deliverLater({ kind: 'failed', failure: 'broken' }, cut ? CUT_NOTICE_MS : 0);
    this.onClosed?.();
  }

  /** The entry VM closes its side, by cancelling or by dying. */
  close(): void {
    if (!this.open) return;
    this.open = false;
    setTimeout(() => this.onClosed?.(), this.network.drawDelayMs());
  }

  private deliverLater(report: AttemptReport, delayMs: number): void {
    const dueMs = Math.max(this.lastDueMs, performance.now() + delayMs);
    this.lastDueMs = dueMs;
    const format = formatters[report.kind] as (id: string, given: AttemptReport) => NodeEvent;
    setTimeout(() => this.deliver(format(this.attemptId, report)), dueMs - performance.now());
  }
}
