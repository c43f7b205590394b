import type { Ran } from '@savorywind/model';
import type { SlotOutcome } from '../routing/types.js';
import type { AttemptFailure } from '../context/types.js';
import type { RequestState } from './types.js';

/** Whether the current attempt may have run, by the state of the request when it ends. */
export const RAN_IN_STATE: Readonly<Record<RequestState, Ran>> = {
  queued: 'no',
  claiming: 'no',
  connecting: 'unknown',
  streaming: 'yes',
  resuming: 'no',
  backingOff: 'no',
};

/** Whether an attempt may have run that failed before the head of its answer arrived. */
export const RAN_AFTER_FAILURE: Readonly<Record<AttemptFailure, Ran>> = {
  notSent: 'no',
  rejected: 'no',
  broken: 'unknown',
  invalid: 'unknown',
};

export const SLOT_OUTCOME_AFTER_FAILURE: Readonly<Record<AttemptFailure, SlotOutcome>> = {
  notSent: 'notSent',
  rejected: 'rejected',
  broken: 'broken',
  invalid: 'broken',
};

const RAN_RANK: Readonly<Record<Ran, number>> = { no: 0, unknown: 1, yes: 2 };

/**
 * Combines two values of `ran` for one request: `yes` takes precedence over `unknown`, and
 * `unknown` over `no`.
 *
 * @example
 * mergeRan('no', 'unknown'); // 'unknown'
 */
export const mergeRan = (a: Ran, b: Ran): Ran => (RAN_RANK[a] >= RAN_RANK[b] ? a : b);
