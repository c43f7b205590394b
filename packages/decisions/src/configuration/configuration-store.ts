import {
  CONFIGURATION_HEAD_KEY,
  Err,
  Ok,
  formatDocumentKey,
  tables,
  type DocumentRow,
  type HeadRow,
  type PlatformFailure,
  type PlatformReply,
  type Result,
  type Revision,
  type TableOperation,
  type TableOutcome,
} from '@savorywind/model';
import { callPlatformWithTimeout } from '../context/call-platform-with-timeout.js';
import type { NodeContext } from '../context/node-context.js';
import { PLATFORM_TIMEOUT_MS } from './consts.js';

/** Head row with the revision that a compare-and-set needs. */
export interface StoredHead {
  readonly row: HeadRow;
  readonly revision: Revision;
}

type Listener<T> = (reply: Result<T, PlatformFailure>) => void;

const readOutcomes = (
  reply: Result<PlatformReply, PlatformFailure>,
): Result<readonly TableOutcome[], PlatformFailure> => {
  if (reply.err) return reply;
  return reply.val.kind === 'tables' ? Ok(reply.val.outcomes) : Err('unanswered');
};

/** Reads and writes the rows of the configuration in the table service. */
export class ConfigurationStore {
  constructor(private readonly context: NodeContext) {}

  /** Reads the head row; the result is undefined if nothing is committed yet. */
  readHead(listener: Listener<StoredHead | undefined>): void {
    const operation = {
      kind: 'get',
      table: tables.configuration,
      key: CONFIGURATION_HEAD_KEY,
    } as const;
    this.apply([operation], (reply) => {
      if (reply.err) {
        listener(reply);
        return;
      }
      const [outcome] = reply.val;
      const row = outcome?.kind === 'row' ? outcome.row : undefined;
      listener(Ok(row && { row: row.value as HeadRow, revision: row.revision }));
    });
  }

  /** Reads the document of a change. It is not validated. */
  readDocument(changeId: string, listener: Listener<DocumentRow | undefined>): void {
    const key = formatDocumentKey(changeId);
    this.apply([{ kind: 'get', table: tables.configuration, key }], (reply) => {
      if (reply.err) {
        listener(reply);
        return;
      }
      const [outcome] = reply.val;
      const row = outcome?.kind === 'row' ? outcome.row : undefined;
      listener(Ok(row?.value as DocumentRow | undefined));
    });
  }

  /** Applies operations in order. Each one is atomic, the sequence is not. */
  apply(operations: readonly TableOperation[], listener: Listener<readonly TableOutcome[]>): void {
    const call = { kind: 'tables', operations } as const;
    callPlatformWithTimeout(this.context, call, PLATFORM_TIMEOUT_MS, (reply) =>
      listener(readOutcomes(reply)),
    );
  }

  /** Describes the write that replaces the head row if its revision is unchanged, or inserts it. */
  static describeHeadWrite(value: HeadRow, storedHead: StoredHead | undefined): TableOperation {
    const target = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY, value };
    if (storedHead === undefined) return { kind: 'insert', ...target };
    return { kind: 'replace', ...target, revision: storedHead.revision };
  }

  /** Describes the write that inserts the document of a change. */
  static describeDocumentWrite(changeId: string, value: DocumentRow): TableOperation {
    return { kind: 'insert', table: tables.configuration, key: formatDocumentKey(changeId), value };
  }
}
