import type { EntryVmId, Revision } from '@savorywind/model';
import type { AnswerHead } from '../context/types.js';

/**
 * State of the single permitted run of a non-idempotent call. `unknown`: the call was sent and its
 * outcome can't be determined. `notRun`: the call provably did not run.
 */
export type ClaimState = 'claimed' | 'answered' | 'notRun' | 'unknown';

/** One incarnation of an entry VM. Only the incarnation that wrote a claim may send its call. */
export interface ClaimWriter {
  readonly vm: EntryVmId;
  readonly incarnation: number;
}

/** Answer stored in a claim: the whole answer, or a summary if it is over the size limit. */
export type StoredAnswer =
  | { readonly kind: 'whole'; readonly head: AnswerHead; readonly bodyBase64: string }
  | {
      readonly kind: 'summary';
      readonly status: number;
      readonly bodyBytes: number;
      readonly bodySha256: string;
    };

/** Claim row that permits one run. It does not expire; only its writer may send, and only once. */
export interface ClaimRow {
  /** Unique name of the claim attempt. */
  readonly attempt: string;
  readonly writer: ClaimWriter;
  /** Digest of the request; another request must not reuse the key. */
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
