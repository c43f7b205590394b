import {
  diffConfigurations,
  formatChange,
  formatHistoryKey,
  logEvents,
  parseConfiguration,
  resultCodes,
  tables,
  type ConfigurationHead,
  type DocumentRow,
  type HeadRow,
  type HistoryRow,
  type PlatformFailure,
  type ResultCode,
  type TableOutcome,
  type VersionId,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import type { Timer } from '../timers/timer-queue.js';
import { ConfigurationStore, type StoredHead } from './configuration-store.js';
import {
  CHANGE_TIMEOUT_MS,
  MAX_CHANGES_IN_PROGRESS,
  MAX_SUMMARY_LINES,
  MAX_RETRY_DELAY_MS,
  MIN_RETRY_DELAY_MS,
} from './consts.js';
import { findChange, matchesDocument } from './find-change.js';
import type { ChangeRequest, ChangeOutcome } from './types.js';

interface Change {
  readonly request: ChangeRequest;
  readonly timeoutTimer: Timer;
  /** Whether a write of the head row may have taken effect although its reply was lost. */
  mayBeCommitted: boolean;
  readonly listeners: ((outcome: ChangeOutcome) => void)[];
}

interface Dependencies {
  readonly context: NodeContext;
  /** Returns the head in force on this entry VM; the summary of a change is computed from it. */
  readonly readCurrent: () => ConfigurationHead | undefined;
  readonly onCommitted: (head: ConfigurationHead) => void;
}

/**
 * Commits changes by compare-and-set of the head row. If the reply to a write is lost, the rows are
 * read back: the change is committed if the head, or a version that the head is based on, has its
 * change id.
 */
export class ChangeCommitter {
  private readonly changes = new Map<string, Change>();

  private readonly store: ConfigurationStore;

  constructor(private readonly dependencies: Dependencies) {
    this.store = new ConfigurationStore(dependencies.context);
  }

  get inProgressCount(): number {
    return this.changes.size;
  }

  /** Commits a change. The listener is called exactly once, within `CHANGE_TIMEOUT_MS`. */
  commit(request: ChangeRequest, listener: (outcome: ChangeOutcome) => void): void {
    const parsed = parseConfiguration(request.configuration);
    if (parsed.err) {
      const refused = { kind: 'refused', committed: 'no' } as const;
      listener({ ...refused, code: resultCodes.invalidConfiguration });
      return;
    }
    const existing = this.changes.get(request.changeId);
    if (existing !== undefined) {
      ChangeCommitter.joinChange(existing, request, listener);
      return;
    }
    if (this.changes.size >= MAX_CHANGES_IN_PROGRESS) {
      listener({ kind: 'refused', code: resultCodes.tooManyChanges, committed: 'no' });
      return;
    }
    this.startChange({ ...request, configuration: parsed.val }, listener);
  }

  private startChange(request: ChangeRequest, listener: (outcome: ChangeOutcome) => void): void {
    const { context } = this.dependencies;
    const timeoutTimer = context.schedule(CHANGE_TIMEOUT_MS, () =>
      this.handleTimeout(request.changeId),
    );
    const change: Change = {
      request,
      timeoutTimer,
      mayBeCommitted: false,
      listeners: [listener],
    };
    this.changes.set(request.changeId, change);
    this.readHead(change);
  }

  /** Adds a listener to a change in progress that is submitted again; both get its outcome. */
  private static joinChange(
    existing: Change,
    request: ChangeRequest,
    listener: (outcome: ChangeOutcome) => void,
  ): void {
    if (matchesDocument(existing.request, request)) {
      existing.listeners.push(listener);
    } else {
      listener({ kind: 'refused', code: resultCodes.changeIdReused, committed: 'no' });
    }
  }

  private readHead(change: Change): void {
    this.store.readHead((reply) => {
      if (!this.isOpen(change)) return;
      if (reply.err) this.retry(change);
      else this.decideOnHead(change, reply.val);
    });
  }

  /**
   * Continues a change after the head row was read: searches the committed versions for it, writes
   * it, or refuses it because of a conflict.
   */
  private decideOnHead(change: Change, storedHead: StoredHead | undefined): void {
    const { changeId, baseVersion } = change.request;
    const version = storedHead?.row.version ?? 0;
    const mayContainChange = version > baseVersion || storedHead?.row.changeId === changeId;
    if (storedHead !== undefined && mayContainChange) this.findCommitted(change, storedHead.row);
    else if (version === baseVersion) this.writeDocument(change, storedHead);
    else this.refuseConflict(change, version);
  }

  private findCommitted(change: Change, head: HeadRow): void {
    const { version } = head;
    findChange(this.store, change.request, head, (result) => {
      if (!this.isOpen(change)) return;
      const { changeIdReused, serializationFailure } = resultCodes;
      if (result.kind === 'committed') this.finish(change, result.versionId, version);
      else if (result.kind === 'unavailable') this.retry(change);
      else if (result.kind === 'reused') this.refuse(change, changeIdReused, 'no', version);
      else if (result.kind === 'absent') this.refuseConflict(change, version);
      else this.refuse(change, serializationFailure, 'unknown', version);
    });
  }

  private writeDocument(change: Change, storedHead: StoredHead | undefined): void {
    const versionId = ChangeCommitter.createVersionId(change);
    const operations = [
      ConfigurationStore.describeDocumentWrite(change.request.changeId, {
        baseVersion: change.request.baseVersion,
        configuration: change.request.configuration,
      }),
      {
        kind: 'insert',
        table: tables.history,
        key: formatHistoryKey(versionId),
        value: this.createHistoryRow(change, storedHead?.row),
      } as const,
    ];
    this.store.apply(operations, (reply) => {
      if (!this.isOpen(change)) return;
      if (reply.err) this.retry(change);
      else this.handleDocumentWritten(change, storedHead, reply.val);
    });
  }

  private handleDocumentWritten(
    change: Change,
    storedHead: StoredHead | undefined,
    [document, history]: readonly TableOutcome[],
  ): void {
    if (document === undefined || history === undefined) {
      this.retry(change);
      return;
    }
    const found = document.kind === 'conflict' ? document.row?.value : undefined;
    const isWritten = document.kind === 'written';
    if (!isWritten && !matchesDocument(change.request, found as DocumentRow | undefined)) {
      this.refuse(change, resultCodes.changeIdReused, 'no', change.request.baseVersion);
      return;
    }
    this.writeHead(change, storedHead);
  }

  private writeHead(change: Change, storedHead: StoredHead | undefined): void {
    const { author, submittedAtMs } = change.request;
    const versionId = ChangeCommitter.createVersionId(change);
    const value = { ...versionId, author, committedAtMs: submittedAtMs };
    const mayHaveBeenCommitted = change.mayBeCommitted;
    change.mayBeCommitted = true;
    this.store.apply([ConfigurationStore.describeHeadWrite(value, storedHead)], (reply) => {
      if (!this.isOpen(change)) return;
      if (reply.err) {
        change.mayBeCommitted = mayHaveBeenCommitted || reply.val === 'unanswered';
        this.retry(change, reply.val);
      } else if (reply.val[0]?.kind === 'written') {
        this.finish(change, versionId, versionId.version);
      } else {
        // Another write won the conflict, possibly an earlier one of this change. The head is read
        // again to find out.
        change.mayBeCommitted = mayHaveBeenCommitted;
        this.readHead(change);
      }
    });
  }

  private createHistoryRow(change: Change, base: HeadRow | undefined): HistoryRow {
    const { author, submittedAtMs, baseVersion } = change.request;
    const current = this.dependencies.readCurrent();
    const before = current?.version === baseVersion ? current.configuration : undefined;
    const isBaseKnown = before !== undefined || baseVersion === 0;
    const changes = isBaseKnown ? diffConfigurations(before, change.request.configuration) : [];
    return {
      ...ChangeCommitter.createVersionId(change),
      author,
      committedAtMs: submittedAtMs,
      base: base && { version: base.version, changeId: base.changeId },
      summary: changes.slice(0, MAX_SUMMARY_LINES).map(formatChange),
    };
  }

  private static createVersionId({ request }: Change): VersionId {
    return { version: request.baseVersion + 1, changeId: request.changeId };
  }

  private retry(change: Change, failure: PlatformFailure = 'unanswered'): void {
    const { context } = this.dependencies;
    const delayMs =
      MIN_RETRY_DELAY_MS + context.drawRandom() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS);
    context.log(logEvents.changeRetried, { change: change.request.changeId, failure });
    context.schedule(delayMs, () => {
      if (this.isOpen(change)) this.readHead(change);
    });
  }

  private handleTimeout(changeId: string): void {
    const change = this.changes.get(changeId);
    if (change === undefined) return;
    if (change.mayBeCommitted) this.refuse(change, resultCodes.platformUnavailable, 'unknown');
    else this.refuse(change, resultCodes.changeNotCommitted, 'no');
  }

  private refuseConflict(change: Change, version: number): void {
    this.refuse(change, resultCodes.serializationFailure, 'no', version);
  }

  private refuse(
    change: Change,
    code: ResultCode,
    committed: 'no' | 'unknown',
    version?: number,
  ): void {
    const { context } = this.dependencies;
    const { changeId, author } = change.request;
    context.log(logEvents.changeRefused, { change: changeId, author, code: code.code, committed });
    const versionField = version === undefined ? {} : { version };
    this.close(change, { kind: 'refused', code, committed, ...versionField });
  }

  private finish(change: Change, versionId: VersionId, headVersion: number): void {
    const { context, onCommitted } = this.dependencies;
    const { changeId, author, submittedAtMs } = change.request;
    const { version } = versionId;
    context.log(logEvents.changeCommitted, { change: changeId, author, version });
    if (version === headVersion) {
      const { configuration } = change.request;
      onCommitted({ version, changeId, author, committedAtMs: submittedAtMs, configuration });
    }
    this.close(change, { kind: 'committed', version });
  }

  private close(change: Change, outcome: ChangeOutcome): void {
    change.timeoutTimer.cancel();
    this.changes.delete(change.request.changeId);
    change.listeners.forEach((listener) => listener(outcome));
  }

  private isOpen(change: Change): boolean {
    return this.changes.get(change.request.changeId) === change;
  }
}
