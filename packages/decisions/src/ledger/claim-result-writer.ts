import { logEvents } from '@savorywind/model';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { NodeContext } from '../context/node-context.js';
import { writeClaimRow, type ClaimWrite, type ClaimWriteReply } from './claim-table.js';
import { MAX_RESULT_BACKOFF_MS } from './consts.js';
import type { ClaimRow } from './types.js';

/**
 * Writes the results of claims in the background and retries until the table service confirms them.
 * If the insert of a claim is in doubt, its result is written by an insert too. That insert either
 * conflicts with the claim's row and then replaces it, or comes first, so that the late insert of
 * the claim fails.
 */
export class ClaimResultWriter {
  private readonly attempts = new Set<string>();

  constructor(
    private readonly context: NodeContext,
    private readonly onWritten: () => void,
  ) {}

  get pendingCount(): number {
    return this.attempts.size;
  }

  has(attempt: string): boolean {
    return this.attempts.has(attempt);
  }

  write(write: ClaimWrite): void {
    this.attempts.add(write.row.attempt);
    this.tryWrite(write, 0);
  }

  private tryWrite(write: ClaimWrite, failures: number): void {
    writeClaimRow(this.context, write, (reply) => this.handleReply(write, failures, reply));
  }

  private handleReply(write: ClaimWrite, failures: number, reply: ClaimWriteReply): void {
    if (reply.err) {
      this.scheduleRetry(write, failures + 1);
      return;
    }
    const outcome = reply.val;
    const existing = outcome.kind === 'conflict' ? outcome.row : undefined;
    const row = existing?.value as ClaimRow | undefined;
    const isOwnClaim = row?.attempt === write.row.attempt && row.state === 'claimed';
    if (existing !== undefined && isOwnClaim && existing.revision !== write.revision) {
      this.tryWrite({ ...write, revision: existing.revision }, failures);
      return;
    }
    this.attempts.delete(write.row.attempt);
    this.onWritten();
  }

  private scheduleRetry(write: ClaimWrite, failures: number): void {
    const { context } = this;
    if (failures === 1) {
      context.log(logEvents.claimUnsettled, {
        attempt: write.row.attempt,
        state: write.row.state,
      });
    }
    const delayMs = estimateBackoffMs(failures, context.drawRandom(), MAX_RESULT_BACKOFF_MS);
    context.schedule(delayMs, () => this.tryWrite(write, failures));
  }
}
