import type { NodeEffect, NodeEvent } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';

export type AttemptStart = Extract<NodeEffect, { readonly kind: 'attempt.start' }>;

export type EventSink = (event: NodeEvent) => void;

/** An attempt in progress at an endpoint. */
export interface RunningAttempt {
  cancel(): void;
}

/** Starts an attempt at one kind of endpoint and reports what becomes of it. */
export type AttemptStarter = (
  start: AttemptStart,
  request: CallerRequest,
  report: EventSink,
) => RunningAttempt;
