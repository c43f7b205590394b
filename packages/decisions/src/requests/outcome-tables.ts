import type { Ran } from '@savorywind/model';
import type { SlotOutcome } from '../routing/types.js';
import type { AttemptFailure } from '../seam/types.js';
import type { RequestState } from './types.js';

/** Whether the attempt in hand may have run, by where the request stands when it is ended. */
export const RAN_IN_STATE: Readonly<Record<RequestState, Ran>> = {
  queued: 'no',
  claiming: 'no',
  connecting: 'unknown',
  streaming: 'yes',
  resuming: 'no',
  backingOff: 'no',
};

/** Whether an attempt that failed before the head of its answer may have run. */
export const RAN_AFTER_FAILURE: Readonly<Record<AttemptFailure, Ran>> = {
  notSent: 'no',
  rejected: 'no',
  broken: 'unknown',
  invalid: 'unknown',
};

export const OUTCOME_AFTER_FAILURE: Readonly<Record<AttemptFailure, SlotOutcome>> = {
  notSent: 'notSent',
  rejected: 'rejected',
  broken: 'broken',
  invalid: 'broken',
};

const RAN_RANK: Readonly<Record<Ran, number>> = { no: 0, unknown: 1, yes: 2 };

/**
 * What two findings about one request say together: a run that is certain outweighs a doubt, and a
 * doubt outweighs an attempt that certainly did not run.
 *
 * @example
 * mergeRan('no', 'unknown'); // 'unknown'
 */
export const mergeRan = (a: Ran, b: Ran): Ran => (RAN_RANK[a] >= RAN_RANK[b] ? a : b);
