import type { NodeEffect, NodeEvent } from '@savorywind/decisions';
import type { CallerRequest } from '../callers/types.js';

export type AttemptStart = Extract<NodeEffect, { readonly kind: 'attempt.start' }>;

/** Receives the events of an attempt. */
export type ReportEvent = (event: NodeEvent) => void;

/** An attempt in progress at an endpoint. */
export interface RunningAttempt {
  cancel(): void;
}

/** Starts an attempt at one kind of endpoint and reports its events. */
export type AttemptStarter = (
  start: AttemptStart,
  request: CallerRequest,
  report: ReportEvent,
) => RunningAttempt;
