import {
  logEvents,
  type MonotonicMs,
  type RequestId,
  type Row,
  type ServiceContract,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { NodeContext } from '../seam/node-context.js';
import {
  createUnavailable,
  decideByRow,
  matchesWriter,
  type ClaimDecision,
} from './claim-decisions.js';
import { ClaimSettler } from './claim-settler.js';
import { writeClaimRow, type ClaimWriteReply } from './claim-table.js';
import { MAX_CLAIM_RACES, MAX_CLAIM_WRITES, MAX_OPEN_CLAIMS } from './consts.js';
import type { Claim, ClaimRow, ClaimWriter, StoredAnswer } from './types.js';

type ClaimListener = (decision: ClaimDecision) => void;

interface PendingClaim {
  readonly contract: ServiceContract;
  readonly key: string;
  readonly row: ClaimRow;
  readonly deadlineMs: MonotonicMs;
  /** Undefined once the request has ended. */
  listener: ClaimListener | undefined;
  /** Revision of the row that is to be replaced; undefined where there was none. */
  revision: number | undefined;
  writes: number;
  races: number;
  /** Whether a write may have taken effect without an answer. */
  inDoubt: boolean;
  inFlight: boolean;
}

/** How a claimed call ended. */
export type ClaimResult =
  | { readonly state: 'answered'; readonly answer: StoredAnswer }
  | { readonly state: 'notRun' }
  | { readonly state: 'unknown' };

/** Names the row of a call: one for each service, team and key. */
export const formatClaimKey = ({ team, service, idempotencyKey }: ServiceContract): string =>
  JSON.stringify([service, team, idempotencyKey]);

/**
 * Writes the claim that must stand before a call with an idempotency key may leave this entry VM,
 * and afterwards how the call ended.
 */
export class ClaimLedger {
  private readonly pending = new Map<RequestId, PendingClaim>();

  /** Attempts that this incarnation may still send, or waits for. */
  private readonly held = new Set<string>();

  private readonly settler: ClaimSettler;

  private readonly writer: ClaimWriter;

  constructor(
    private readonly context: NodeContext,
    private readonly membership: Membership,
    onSettled: () => void,
  ) {
    const { id: vm, incarnation } = context.self;
    this.writer = { vm, incarnation };
    this.settler = new ClaimSettler(context, onSettled);
  }

  /** Results that the table service has not taken yet. */
  get unsettledCount(): number {
    return this.settler.pendingCount;
  }

  /** The listener is called once, unless the claim is withdrawn. */
  claim(contract: ServiceContract, deadlineMs: MonotonicMs, listener: ClaimListener): void {
    if (this.held.size + this.settler.pendingCount >= MAX_OPEN_CLAIMS) {
      listener(createUnavailable());
      return;
    }
    const { context, writer } = this;
    const attempt = context.createName();
    const pending: PendingClaim = {
      contract,
      key: formatClaimKey(contract),
      row: { attempt, writer, digest: contract.digest, state: 'claimed' },
      deadlineMs,
      listener,
      revision: undefined,
      writes: 0,
      races: 0,
      inDoubt: false,
      inFlight: false,
    };
    this.held.add(attempt);
    this.pending.set(contract.requestId, pending);
    this.writeClaim(pending);
  }

  /** The request has ended before its claim was decided: the call will not be sent. */
  withdraw(requestId: RequestId): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    this.closePending(pending);
    if (pending.inDoubt || pending.inFlight) this.settleNotRun(pending);
    else this.held.delete(pending.row.attempt);
  }

  /** Writes how a claimed call ended, in the background. */
  settle(claim: Claim, result: ClaimResult): void {
    const { key, row, revision } = claim;
    this.held.delete(row.attempt);
    this.settler.settle({ key, row: { ...row, ...result }, revision });
  }

  private writeClaim(pending: PendingClaim): void {
    const { key, row, revision } = pending;
    pending.writes += 1;
    pending.inFlight = true;
    writeClaimRow(this.context, { key, row, revision }, (reply) => {
      if (pending.listener !== undefined) this.acceptReply(pending, reply);
    });
  }

  private acceptReply(pending: PendingClaim, reply: ClaimWriteReply): void {
    pending.inFlight = false;
    if (reply.err) {
      this.acceptFailure(pending, reply.val === 'unanswered');
      return;
    }
    const outcome = reply.val;
    if (outcome.kind === 'written') this.grant(pending, outcome.row);
    else if (outcome.kind === 'conflict') this.acceptConflict(pending, outcome.row);
    else this.acceptFailure(pending, true);
  }

  /** A write in doubt is made again: a conflict with the own attempt reads it back. */
  private acceptFailure(pending: PendingClaim, inDoubt: boolean): void {
    const { context } = this;
    pending.inDoubt ||= inDoubt;
    const delayMs = estimateBackoffMs(pending.writes, context.drawRandom());
    const isLate = context.nowMs + delayMs >= pending.deadlineMs;
    if (pending.writes >= MAX_CLAIM_WRITES || isLate) {
      this.giveUp(pending);
      return;
    }
    context.schedule(delayMs, () => {
      if (pending.listener !== undefined) this.writeClaim(pending);
    });
  }

  private acceptConflict(pending: PendingClaim, found: Row | undefined): void {
    if (found === undefined) {
      this.giveUp(pending);
      return;
    }
    const row = found.value as ClaimRow;
    if (row.attempt === pending.row.attempt) {
      this.grant(pending, found);
      return;
    }
    const decision = decideByRow(pending.contract, row, (given) => this.isActive(given));
    if (decision.kind !== 'claimAgain') {
      this.decide(pending, decision);
      return;
    }
    pending.races += 1;
    pending.revision = found.revision;
    pending.inDoubt = false;
    if (pending.races > MAX_CLAIM_RACES) this.decide(pending, createUnavailable());
    else this.writeClaim(pending);
  }

  private grant(pending: PendingClaim, { revision }: Row): void {
    const { key, row } = pending;
    this.closePending(pending)?.({ kind: 'send', claim: { key, row, revision } });
  }

  private giveUp(pending: PendingClaim): void {
    const listener = this.closePending(pending);
    if (pending.inDoubt) {
      this.context.log(logEvents.claimInDoubt, { request: pending.contract.requestId });
      this.settleNotRun(pending);
    } else {
      this.held.delete(pending.row.attempt);
    }
    listener?.(createUnavailable());
  }

  /** The key belongs to another attempt: nothing of this one is in the table. */
  private decide(pending: PendingClaim, decision: ClaimDecision): void {
    this.held.delete(pending.row.attempt);
    this.closePending(pending)?.(decision);
  }

  /** Leaves a row that a write in doubt can't change any more, and that permits another claim. */
  private settleNotRun({ key, row, revision }: PendingClaim): void {
    this.held.delete(row.attempt);
    this.settler.settle({ key, row: { ...row, state: 'notRun' }, revision });
  }

  private closePending(pending: PendingClaim): ClaimListener | undefined {
    const { listener } = pending;
    pending.listener = undefined;
    this.pending.delete(pending.contract.requestId);
    return listener;
  }

  /** Whether the writer of a claim may still send or answer, as far as is known. */
  private isActive({ attempt, writer }: ClaimRow): boolean {
    if (matchesWriter(writer, this.writer)) {
      return this.held.has(attempt) || this.settler.has(attempt);
    }
    const isWriter = ({ id: vm, incarnation }: { id: string; incarnation: number }): boolean =>
      matchesWriter(writer, { vm, incarnation });
    return this.membership.listLive().some(isWriter);
  }
}
