import { resultCodes, type Refusal, type ServiceContract } from '@savorywind/model';
import { CLAIM_RETRY_AFTER_MS } from './consts.js';
import type { Claim, ClaimRow, ClaimState, ClaimWriter, StoredAnswer } from './types.js';

/** What to do with a call that has an idempotency key. */
export type ClaimDecision =
  | { readonly kind: 'send'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A claim decision, or `claimAgain`: the existing row may be replaced by another claim. */
export type RowDecision = ClaimDecision | { readonly kind: 'claimAgain' };

type IsActive = (row: ClaimRow) => boolean;

const refuse = (refusal: Refusal): ClaimDecision => ({ kind: 'refused', refusal });

const refuseUnknown = (): ClaimDecision =>
  refuse({ code: resultCodes.outcomeUnknown, ran: 'unknown' });

/** Creates the refusal of a call that was not sent because its claim could not be written. */
export const createUnavailableDecision = (): ClaimDecision =>
  refuse({
    code: resultCodes.claimsUnavailable,
    ran: 'no',
    retryAfterMs: CLAIM_RETRY_AFTER_MS,
  });

const decisionsByState: Readonly<
  Record<ClaimState, (row: ClaimRow, isActive: IsActive) => RowDecision>
> = {
  claimed: (row, isActive) =>
    isActive(row)
      ? refuse({
          code: resultCodes.keyInUse,
          ran: 'unknown',
          retryAfterMs: CLAIM_RETRY_AFTER_MS,
        })
      : refuseUnknown(),
  answered: ({ answer }) => (answer === undefined ? refuseUnknown() : { kind: 'replay', answer }),
  notRun: () => ({ kind: 'claimAgain' }),
  unknown: refuseUnknown,
};

/** Decides about a call by the row that another attempt wrote under the same key. */
export const decideByExistingRow = (
  contract: ServiceContract,
  row: ClaimRow,
  isActive: IsActive,
): RowDecision => {
  if (row.digest !== contract.digest) {
    return refuse({ code: resultCodes.keyReused, ran: 'no' });
  }
  return decisionsByState[row.state](row, isActive);
};

export const matchesWriter = (a: ClaimWriter, b: ClaimWriter): boolean =>
  a.vm === b.vm && a.incarnation === b.incarnation;
