import {
  resultCodes,
  tables,
  type PlatformFailure,
  type PlatformReply,
  type Refusal,
  type Result,
  type ServiceContract,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import type { ClaimRow } from './types.js';

const RETRY_AFTER_MS = 1_000;

export type ClaimDecision =
  { readonly kind: 'send' } | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Names the row of a call: one for each team, service and key. */
export const formatClaimKey = ({ team, service, idempotencyKey }: ServiceContract): string =>
  JSON.stringify([service, team, idempotencyKey]);

/** Writes the claim that must stand before a non-idempotent call may leave this entry VM. */
export class ClaimLedger {
  constructor(private readonly context: NodeContext) {}

  claim(contract: ServiceContract, listener: (decision: ClaimDecision) => void): void {
    const row: ClaimRow = {
      attempt: contract.requestId,
      digest: contract.digest,
      state: 'claimed',
    };
    const operation = {
      kind: 'insert',
      table: tables.claims,
      key: formatClaimKey(contract),
      value: row,
    } as const;
    this.context.callPlatform({ kind: 'tables', operations: [operation] }, (reply) =>
      listener(ClaimLedger.decide(contract, reply)),
    );
  }

  private static decide(
    contract: ServiceContract,
    reply: Result<PlatformReply, PlatformFailure>,
  ): ClaimDecision {
    const outcome = reply.ok && reply.val.kind === 'tables' ? reply.val.outcomes[0] : undefined;
    if (outcome?.kind === 'written') return { kind: 'send' };
    if (outcome?.kind !== 'conflict' || outcome.row === undefined) {
      const code = resultCodes.claimsUnavailable;
      return { kind: 'refused', refusal: { code, ran: 'no', retryAfterMs: RETRY_AFTER_MS } };
    }
    const found = outcome.row.value as ClaimRow;
    if (found.digest !== contract.digest) {
      return { kind: 'refused', refusal: { code: resultCodes.keyReused, ran: 'no' } };
    }
    const code = resultCodes.keyInUse;
    return { kind: 'refused', refusal: { code, ran: 'unknown', retryAfterMs: RETRY_AFTER_MS } };
  }
}
