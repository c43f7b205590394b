import {
  Err,
  Ok,
  tables,
  type PlatformFailure,
  type Result,
  type Revision,
  type TableOutcome,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import { CLAIM_WRITE_TIMEOUT_MS } from './consts.js';
import type { ClaimRow } from './types.js';

/** A write of one claim row. */
export interface ClaimWrite {
  readonly key: string;
  readonly row: ClaimRow;
  /** Revision of the row to replace; undefined if the row must not exist yet. */
  readonly revision: Revision | undefined;
}

export type ClaimWriteReply = Result<TableOutcome, PlatformFailure>;

const buildOperation = ({ key, row, revision }: ClaimWrite) =>
  revision === undefined
    ? ({ kind: 'insert', table: tables.claims, key, value: row } as const)
    : ({ kind: 'replace', table: tables.claims, key, value: row, revision } as const);

/** Writes one claim row. The listener gets exactly one reply, `unanswered` after the timeout. */
export const writeClaimRow = (
  context: NodeContext,
  write: ClaimWrite,
  listener: (reply: ClaimWriteReply) => void,
): void => {
  const call = { kind: 'tables', operations: [buildOperation(write)] } as const;
  let callId = 0;
  const timer = context.schedule(CLAIM_WRITE_TIMEOUT_MS, () => {
    context.dropPlatformCall(callId);
    listener(Err('unanswered'));
  });
  callId = context.callPlatform(call, (reply) => {
    timer.cancel();
    if (reply.err) {
      listener(reply);
      return;
    }
    const outcome = reply.val.kind === 'tables' ? reply.val.outcomes[0] : undefined;
    listener(outcome === undefined ? Err('unanswered') : Ok(outcome));
  });
};
