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
import type { NodeContext } from '../seam/node-context.js';
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
import type { ChangeAsk, ChangeOutcome } from './types.js';

interface Change {
  readonly request: ChangeAsk;
  readonly timeoutTimer: Timer;
  /** Whether a write of the head row may have taken effect without an answer. */
  mayBeCommitted: boolean;
  readonly listeners: ((outcome: ChangeOutcome) => void)[];
}

interface Dependencies {
  readonly context: NodeContext;
  /** The head in force on this entry VM, for the summary of what a change alters. */
  readonly readCurrent: () => ConfigurationHead | undefined;
  readonly onCommitted: (head: ConfigurationHead) => void;
}

/**
 * Commits changes by compare-and-set of the head row. A lost answer is decided by reading back: the
 * change is committed if the head, or a version that the head is built on, carries its change id.
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

  /** Commits a change; the listener is called exactly once, within the limit of a change's time. */
  commit(ask: ChangeAsk, listener: (outcome: ChangeOutcome) => void): void {
    const parsed = parseConfiguration(ask.configuration);
    if (parsed.err) {
      const refused = { kind: 'refused', committed: 'no' } as const;
      listener({ ...refused, code: resultCodes.invalidConfiguration });
      return;
    }
    const running = this.changes.get(ask.changeId);
    if (running !== undefined) {
      ChangeCommitter.joinChange(running, ask, listener);
      return;
    }
    if (this.changes.size >= MAX_CHANGES_IN_PROGRESS) {
      listener({ kind: 'refused', code: resultCodes.tooManyChanges, committed: 'no' });
      return;
    }
    this.startChange({ ...ask, configuration: parsed.val }, listener);
  }

  private startChange(ask: ChangeAsk, listener: (outcome: ChangeOutcome) => void): void {
    const { context } = this.dependencies;
    const limitTimer = context.schedule(CHANGE_TIMEOUT_MS, () => this.handleTimeout(ask.changeId));
    const change: Change = {
      request: ask,
      timeoutTimer: limitTimer,
      mayBeCommitted: false,
      listeners: [listener],
    };
    this.changes.set(ask.changeId, change);
    this.readHead(change);
  }

  /** The same change asked for again while it is being committed: both get its outcome. */
  private static joinChange(
    running: Change,
    ask: ChangeAsk,
    listener: (outcome: ChangeOutcome) => void,
  ): void {
    if (matchesDocument(running.request, ask)) {
      running.listeners.push(listener);
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

  private decideOnHead(change: Change, read: StoredHead | undefined): void {
    const { changeId, baseVersion } = change.request;
    const version = read?.row.version ?? 0;
    const isLater = version > baseVersion || read?.row.changeId === changeId;
    if (read !== undefined && isLater) this.findCommitted(change, read.row);
    else if (version === baseVersion) this.writeDocument(change, read);
    else this.refuseConflict(change, version);
  }

  private findCommitted(change: Change, head: HeadRow): void {
    const { version } = head;
    findChange(this.store, change.request, head, (finding) => {
      if (!this.isOpen(change)) return;
      const { changeIdReused, serializationFailure } = resultCodes;
      if (finding.kind === 'committed') this.finish(change, finding.name, version);
      else if (finding.kind === 'unavailable') this.retry(change);
      else if (finding.kind === 'reused') this.refuse(change, changeIdReused, 'no', version);
      else if (finding.kind === 'absent') this.refuseConflict(change, version);
      else this.refuse(change, serializationFailure, 'unknown', version);
    });
  }

  private writeDocument(change: Change, read: StoredHead | undefined): void {
    const name = ChangeCommitter.createVersionId(change);
    const operations = [
      ConfigurationStore.describeDocumentWrite(change.request.changeId, {
        baseVersion: change.request.baseVersion,
        configuration: change.request.configuration,
      }),
      {
        kind: 'insert',
        table: tables.history,
        key: formatHistoryKey(name),
        value: this.createHistoryRow(change, read?.row),
      } as const,
    ];
    this.store.apply(operations, (reply) => {
      if (!this.isOpen(change)) return;
      if (reply.err) this.retry(change);
      else this.handleDocumentWritten(change, read, reply.val);
    });
  }

  private handleDocumentWritten(
    change: Change,
    read: StoredHead | undefined,
    [document, history]: readonly TableOutcome[],
  ): void {
    if (document === undefined || history === undefined) {
      this.retry(change);
      return;
    }
    const found = document.kind === 'conflict' ? document.row?.value : undefined;
    const isKnown = document.kind === 'written';
    if (!isKnown && !matchesDocument(change.request, found as DocumentRow | undefined)) {
      this.refuse(change, resultCodes.changeIdReused, 'no', change.request.baseVersion);
      return;
    }
    this.writeHead(change, read);
  }

  private writeHead(change: Change, read: StoredHead | undefined): void {
    const { author, submittedAtMs } = change.request;
    const name = ChangeCommitter.createVersionId(change);
    const value = { ...name, author, committedAtMs: submittedAtMs };
    const mayHaveBeenCommitted = change.mayBeCommitted;
    change.mayBeCommitted = true;
    this.store.apply([ConfigurationStore.describeHeadWrite(value, read)], (reply) => {
      if (!this.isOpen(change)) return;
      if (reply.err) {
        change.mayBeCommitted = mayHaveBeenCommitted || reply.val === 'unanswered';
        this.retry(change, reply.val);
      } else if (reply.val[0]?.kind === 'written') {
        this.finish(change, name, name.version);
      } else {
        // Another write came first, perhaps an earlier one of this very change: read and decide.
        change.mayBeCommitted = mayHaveBeenCommitted;
        this.readHead(change);
      }
    });
  }

  private createHistoryRow(change: Change, base: HeadRow | undefined): HistoryRow {
    const { author, submittedAtMs, baseVersion } = change.request;
    const current = this.dependencies.readCurrent();
    const before = current?.version === baseVersion ? current.configuration : undefined;
    const known = before !== undefined || baseVersion === 0;
    const changes = known ? diffConfigurations(before, change.request.configuration) : [];
    return {
      ...ChangeCommitter.createVersionId(change),
      author,
      committedAtMs: submittedAtMs,
      base: base && { version: base.version, changeId: base.changeId },
      summary: changes.slice(0, MAX_SUMMARY_LINES).map(formatChange),
    };
  }

  private static createVersionId({ request: ask }: Change): VersionId {
    return { version: ask.baseVersion + 1, changeId: ask.changeId };
  }

  private retry(change: Change, failure: PlatformFailure = 'unanswered'): void {
    const { context } = this.dependencies;
    const pauseMs =
      MIN_RETRY_DELAY_MS + context.drawRandom() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS);
    context.log(logEvents.changeRetried, { change: change.request.changeId, failure });
    context.schedule(pauseMs, () => {
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
    const known = version === undefined ? {} : { version };
    this.close(change, { kind: 'refused', code, committed, ...known });
  }

  private finish(change: Change, name: VersionId, headVersion: number): void {
    const { context, onCommitted } = this.dependencies;
    const { changeId, author, submittedAtMs } = change.request;
    const { version } = name;
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
