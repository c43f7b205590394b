import type { MonotonicMs } from '@savorywind/model';
import type { QueuedRequest, QueueOrder } from './types.js';

/** Rank of a queued request; the lowest rank is granted first. */
type RankRequest = (request: QueuedRequest, nowMs: MonotonicMs, slowdownWeight: number) => number;

/**
 * Rank functions by queue order. `responseRatio` ranks by (wait + prefill) / prefill, which grows
 * without bound while a request waits, so no request starves. A slowdown weight below 1 reduces the
 * effect of the prefill time; with 0 only the sum of wait and prefill counts.
 */
export const queueOrders: Readonly<Record<QueueOrder, RankRequest>> = {
  firstCome: ({ arrivedAtMs }) => arrivedAtMs,
  shortestFirst: ({ prefillMs }) => prefillMs,
  earliestDeadline: ({ deadlineMs }) => deadlineMs,
  responseRatio: ({ arrivedAtMs, prefillMs }, nowMs, slowdownWeight) =>
    -(nowMs - arrivedAtMs + prefillMs) / prefillMs ** slowdownWeight,
};
