import type { MonotonicMs } from '@savorywind/model';
import type { QueuedAsk, QueueOrder } from './types.js';

/** Rank of an ask; the lowest is granted first. */
type RankAsk = (ask: QueuedAsk, nowMs: MonotonicMs, slowdownWeight: number) => number;

/**
 * Orders of a queue. The response ratio is (wait + work) / work: it grows without bound while an ask
 * waits, so nothing starves. With a slowdown weight under 1 the work counts less, down to plain
 * waiting time.
 */
export const queueOrders: Readonly<Record<QueueOrder, RankAsk>> = {
  firstCome: ({ arrivedAtMs }) => arrivedAtMs,
  shortestFirst: ({ workMs }) => workMs,
  earliestDeadline: ({ deadlineMs }) => deadlineMs,
  responseRatio: ({ arrivedAtMs, workMs }, nowMs, slowdownWeight) =>
    -(nowMs - arrivedAtMs + workMs) / workMs ** slowdownWeight,
};
