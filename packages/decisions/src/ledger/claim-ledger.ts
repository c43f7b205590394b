import {
  logEvents,
  type MonotonicMs,
  type RequestId,
  type Row,
  type ServiceContract,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { NodeContext } from '../context/node-context.js';
import {
  createUnavailableDecision,
  decideByExistingRow,
  matchesWriter,
  type ClaimDecision,
} from './claim-decisions.js';
import { ClaimResultWriter } from './claim-result-writer.js';
import { writeClaimRow, type ClaimWriteReply } from './claim-table.js';
import { MAX_CLAIM_CONFLICTS, MAX_CLAIM_WRITES, MAX_OPEN_CLAIMS } from './consts.js';
import type { Claim, ClaimRow, ClaimWriter, StoredAnswer } from './types.js';

type ClaimListener = (decision: ClaimDecision) => void;

interface PendingClaim {
  readonly contract: ServiceContract;
  readonly key: string;
  readonly row: ClaimRow;
  readonly deadlineMs: MonotonicMs;
  /** Undefined once the claim is decided or its request has ended. */
  listener: ClaimListener | undefined;
  /** Revision of the row to replace; undefined if the row is to be inserted. */
  revision: number | undefined;
  /** Write attempts so far. */
  writes: number;
  /** How often another writer changed the row first. */
  conflicts: number;
  /** Whether a write that got no reply may have taken effect. */
  isInDoubt: boolean;
  isInFlight: boolean;
}

/** How a claimed call ended. */
export type ClaimResult =
  | { readonly state: 'answered'; readonly answer: StoredAnswer }
  | { readonly state: 'notRun' }
  | { readonly state: 'unknown' };

/** Formats the row key of a call: one row per service, team and idempotency key. */
export const formatClaimKey = ({ team, service, idempotencyKey }: ServiceContract): string =>
  JSON.stringify([service, team, idempotencyKey]);

/**
 * Writes a claim to the table service before a call with an idempotency key is sent, and the result
 * of the call after it has ended.
 */
export class ClaimLedger {
  private readonly pending = new Map<RequestId, PendingClaim>();

  /** Claim attempts whose call this incarnation may still send, or whose end it awaits. */
  private readonly activeAttempts = new Set<string>();

  private readonly resultWriter: ClaimResultWriter;

  private readonly writer: ClaimWriter;

  constructor(
    private readonly context: NodeContext,
    private readonly membership: Membership,
    onResultWritten: () => void,
  ) {
    const { id: vm, incarnation } = context.self;
    this.writer = { vm, incarnation };
    this.resultWriter = new ClaimResultWriter(context, onResultWritten);
  }

  /** Number of results that are not written to the table service yet. */
  get pendingResultCount(): number {
    return this.resultWriter.pendingCount;
  }

  /** Claims a call. The listener is called exactly once, unless the claim is cancelled first. */
  claim(contract: ServiceContract, deadlineMs: MonotonicMs, listener: ClaimListener): void {
    if (this.activeAttempts.size + this.resultWriter.pendingCount >= MAX_OPEN_CLAIMS) {
      listener(createUnavailableDecision());
      return;
    }
    const { context, writer } = this;
    const attempt = context.createId();
    const pending: PendingClaim = {
      contract,
      key: formatClaimKey(contract),
      row: { attempt, writer, digest: contract.digest, state: 'claimed' },
      deadlineMs,
      listener,
      revision: undefined,
      writes: 0,
      conflicts: 0,
      isInDoubt: false,
      isInFlight: false,
    };
    this.activeAttempts.add(attempt);
    this.pending.set(contract.requestId, pending);
    this.writeClaim(pending);
  }

  /** Cancels a claim that is not decided yet, because its request has ended; nothing is sent. */
  cancel(requestId: RequestId): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    this.closePending(pending);
    if (pending.isInDoubt || pending.isInFlight) this.writeNotRun(pending);
    else this.activeAttempts.delete(pending.row.attempt);
  }

  /** Writes the result of a claimed call, in the background. */
  writeResult(claim: Claim, result: ClaimResult): void {
    const { key, row, revision } = claim;
    this.activeAttempts.delete(row.attempt);
    this.resultWriter.write({ key, row: { ...row, ...result }, revision });
  }

  private writeClaim(pending: PendingClaim): void {
    const { key, row, revision } = pending;
    pending.writes += 1;
    pending.isInFlight = true;
    writeClaimRow(this.context, { key, row, revision }, (reply) => {
      if (pending.listener !== undefined) this.handleReply(pending, reply);
    });
  }

  private handleReply(pending: PendingClaim, reply: ClaimWriteReply): void {
    pending.isInFlight = false;
    if (reply.err) {
      this.handleFailure(pending, reply.val === 'unanswered');
      return;
    }
    const outcome = reply.val;
    if (outcome.kind === 'written') this.grant(pending, outcome.row);
    else if (outcome.kind === 'conflict') this.handleConflict(pending, outcome.row);
    else this.handleFailure(pending, true);
  }

  /**
   * Retries a failed write. If an earlier write took effect, the retry conflicts with this claim's
   * own row, which shows that the claim was granted.
   */
  private handleFailure(pending: PendingClaim, isInDoubt: boolean): void {
    const { context } = this;
    pending.isInDoubt ||= isInDoubt;
    const delayMs = estimateBackoffMs(pending.writes, context.drawRandom());
    const isLate = context.nowMs + delayMs >= pending.deadlineMs;
    if (pending.writes >= MAX_CLAIM_WRITES || isLate) {
      this.abandonClaim(pending);
      return;
    }
    context.schedule(delayMs, () => {
      if (pending.listener !== undefined) this.writeClaim(pending);
    });
  }

  private handleConflict(pending: PendingClaim, existing: Row | undefined): void {
    if (existing === undefined) {
      this.abandonClaim(pending);
      return;
    }
    const row = existing.value as ClaimRow;
    if (row.attempt === pending.row.attempt) {
      this.grant(pending, existing);
      return;
    }
    const decision = decideByExistingRow(pending.contract, row, (claimRow) =>
      this.isActive(claimRow),
    );
    if (decision.kind !== 'claimAgain') {
      this.decide(pending, decision);
      return;
    }
    pending.conflicts += 1;
    pending.revision = existing.revision;
    pending.isInDoubt = false;
    if (pending.conflicts > MAX_CLAIM_CONFLICTS) this.decide(pending, createUnavailableDecision());
    else this.writeClaim(pending);
  }

  private grant(pending: PendingClaim, { revision }: Row): void {
    const { key, row } = pending;
    this.closePending(pending)?.({ kind: 'send', claim: { key, row, revision } });
  }

  private abandonClaim(pending: PendingClaim): void {
    const listener = this.closePending(pending);
    if (pending.isInDoubt) {
      this.context.log(logEvents.claimInDoubt, { request: pending.contract.requestId });
      this.writeNotRun(pending);
    } else {
      this.activeAttempts.delete(pending.row.attempt);
    }
    listener?.(createUnavailableDecision());
  }

  /** Ends a claim because another attempt holds the key; the table has no row of this claim. */
  private decide(pending: PendingClaim, decision: ClaimDecision): void {
    this.activeAttempts.delete(pending.row.attempt);
    this.closePending(pending)?.(decision);
  }

  /**
   * Writes a `notRun` row, which permits another claim and which a late, in-doubt write of this
   * claim can't replace.
   */
  private writeNotRun({ key, row, revision }: PendingClaim): void {
    this.activeAttempts.delete(row.attempt);
    this.resultWriter.write({ key, row: { ...row, state: 'notRun' }, revision });
  }

  private closePending(pending: PendingClaim): ClaimListener | undefined {
    const { listener } = pending;
    pending.listener = undefined;
    this.pending.delete(pending.contract.requestId);
    return listener;
  }

  /**
   * Whether, as far as this entry VM knows, the writer of a claim may still send or finish the call.
   */
  private isActive({ attempt, writer }: ClaimRow): boolean {
    if (matchesWriter(writer, this.writer)) {
      return this.activeAttempts.has(attempt) || this.resultWriter.has(attempt);
    }
    const isWriter = ({ id: vm, incarnation }: { id: string; incarnation: number }): boolean =>
      matchesWriter(writer, { vm, incarnation });
    return this.membership.listLive().some(isWriter);
  }
}
