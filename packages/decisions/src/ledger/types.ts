import type { AnswerHead } from '../seam/types.js';

/** How far the one permitted run of a non-idempotent call has come. */
export type ClaimState = 'claimed' | 'answered' | 'notRun';

/** The row that permits one run. It never lapses; only its writer may send, and only once. */
export interface ClaimRow {
  readonly attempt: string;
  readonly digest: string;
  readonly state: ClaimState;
  readonly answer?: { readonly head: AnswerHead; readonly body: string };
}
