import { logEvents } from '@savorywind/model';
import { estimateBackoffMs } from '../retries/backoff.js';
import type { NodeContext } from '../seam/node-context.js';
import { writeClaimRow, type ClaimWrite, type ClaimWriteReply } from './claim-table.js';
import { LONGEST_SETTLE_BACKOFF_MS } from './consts.js';
import type { ClaimRow } from './types.js';

/**
 * Writes how claims ended, in the background, until the table service has taken it. A claim whose
 * insert is in doubt is settled by the same insert with the end state: it either finds the row and
 * changes it, or writes the row first, and the late insert changes nothing.
 */
export class ClaimSettler {
  private readonly attempts = new Set<string>();

  constructor(
    private readonly context: NodeContext,
    private readonly onSettled: () => void,
  ) {}

  get pendingCount(): number {
    return this.attempts.size;
  }

  has(attempt: string): boolean {
    return this.attempts.has(attempt);
  }

  settle(write: ClaimWrite): void {
    this.attempts.add(write.row.attempt);
    this.tryWrite(write, 0);
  }

  private tryWrite(write: ClaimWrite, failures: number): void {
    writeClaimRow(this.context, write, (reply) => this.acceptReply(write, failures, reply));
  }

  private acceptReply(write: ClaimWrite, failures: number, reply: ClaimWriteReply): void {
    if (reply.err) {
      this.retryLater(write, failures + 1);
      return;
    }
    const outcome = reply.val;
    const found = outcome.kind === 'conflict' ? outcome.row : undefined;
    const row = found?.value as ClaimRow | undefined;
    const isOwnClaim = row?.attempt === write.row.attempt && row.state === 'claimed';
    if (found !== undefined && isOwnClaim && found.revision !== write.revision) {
      this.tryWrite({ ...write, revision: found.revision }, failures);
      return;
    }
    this.attempts.delete(write.row.attempt);
    this.onSettled();
  }

  private retryLater(write: ClaimWrite, failures: number): void {
    const { context } = this;
    if (failures === 1) {
      context.log(logEvents.claimUnsettled, {
        attempt: write.row.attempt,
        state: write.row.state,
      });
    }
    const delayMs = estimateBackoffMs(failures, context.drawRandom(), LONGEST_SETTLE_BACKOFF_MS);
    context.schedule(delayMs, () => this.tryWrite(write, failures));
  }
}
