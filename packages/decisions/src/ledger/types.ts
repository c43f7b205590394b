import type { EntryVmId, Revision } from '@savorywind/model';
import type { AnswerHead } from '../seam/types.js';

/**
 * How far the one permitted run of a non-idempotent call has come. `unknown` is written where the
 * call was sent and its outcome can't be known; `notRun` where it is proved that it did not run.
 */
export type ClaimState = 'claimed' | 'answered' | 'notRun' | 'unknown';

/** One life of an entry VM, which alone may send under the claim that it wrote. */
export interface ClaimWriter {
  readonly vm: EntryVmId;
  readonly incarnation: number;
}

/** What a claim keeps of an answer: all of it, or of a larger one what identifies it. */
export type StoredAnswer =
  | { readonly kind: 'whole'; readonly head: AnswerHead; readonly bodyBase64: string }
  | {
      readonly kind: 'summary';
      readonly status: number;
      readonly bodyBytes: number;
      readonly bodySha256: string;
    };

/** The row that permits one run. It never lapses; only its writer may send, and only once. */
export interface ClaimRow {
  readonly attempt: string;
  readonly writer: ClaimWriter;
  readonly digest: string;
  readonly state: ClaimState;
  readonly answer?: StoredAnswer;
}

/** A claim that this entry VM holds. */
export interface Claim {
  readonly key: string;
  readonly row: ClaimRow;
  readonly revision: Revision;
}
