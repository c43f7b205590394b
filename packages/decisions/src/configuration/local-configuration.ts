import {
  isHeadRow,
  logEvents,
  parseConfiguration,
  type Configuration,
  type ConfigurationFault,
  type ConfigurationHead,
  type HeadRow,
  type MonotonicMs,
  type PlatformFailure,
  type Result,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import type { Timer } from '../timers/timer-queue.js';
import { ConfigurationStore, type StoredHead } from './configuration-store.js';
import {
  PEER_SYNC_WAIT_MS,
  MAX_POLL_INTERVAL_MS,
  MIN_POLL_INTERVAL_MS,
  MAX_RETRY_DELAY_MS,
  MIN_RETRY_DELAY_MS,
  STALE_AFTER_MS,
} from './consts.js';

export interface LocalConfigurationListeners {
  /** Called when a higher version is in force on this entry VM. */
  readonly onAdopted: (head: ConfigurationHead) => void;
  /**
   * Called once when a version is in force and the initial synchronization is finished: the store
   * has answered, or, if it failed, peers have had `PEER_SYNC_WAIT_MS` to send a higher version.
   */
  readonly onSynced: () => void;
}

/**
 * The configuration in force on this entry VM: the highest version that it has seen in the store or
 * received from peers. It polls the store, and never goes back to a lower version.
 */
export class LocalConfiguration {
  private current: ConfigurationHead | undefined;

  private confirmedAtMs: MonotonicMs | undefined;

  private isSynced = false;

  private hasStoreAnswered = false;

  private hasStoreFailed = false;

  private syncTimer: Timer | undefined;

  private staleTimer: Timer | undefined;

  private isStale = false;

  private hasStoreRegressed = false;

  private rejectedVersion: number | undefined;

  private readonly store: ConfigurationStore;

  constructor(
    private readonly context: NodeContext,
    private readonly listeners: LocalConfigurationListeners,
  ) {
    this.store = new ConfigurationStore(context);
  }

  start(): void {
    this.armStaleTimer();
    this.poll();
  }

  get head(): ConfigurationHead | undefined {
    return this.current;
  }

  get configuration(): Configuration | undefined {
    return this.current?.configuration;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  /** Time since the platform confirmed the version to this entry VM or to the peer that sent it. */
  get ageMs(): number | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.context.nowMs - this.confirmedAtMs;
  }

  /**
   * Puts a validated head in force if its version is higher than the current one.
   *
   * @param ageMs time since the platform confirmed the head to its sender; undefined if unknown
   */
  applyHead(head: ConfigurationHead, ageMs?: number): void {
    if (head.version <= this.version) return;
    const { version, configuration } = head;
    this.current = head;
    if (ageMs !== undefined) this.recordConfirmation(ageMs);
    this.context.emit({ kind: 'configuration.adopted', version, configuration });
    this.context.log(logEvents.configurationAdopted, { version });
    this.listeners.onAdopted(head);
    this.updateSynced();
  }

  /** Validates a head and document from outside this process, and puts them in force if valid. */
  applyDocument(row: unknown, document: unknown, ageMs?: number): void {
    if (!isHeadRow(row)) return;
    const { version, changeId, author, committedAtMs } = row;
    if (version <= this.version) return;
    const parsed = parseConfiguration(document);
    if (parsed.ok) {
      const configuration = parsed.val;
      this.applyHead({ version, changeId, author, committedAtMs, configuration }, ageMs);
      return;
    }
    this.reportRejected(version, parsed.val);
  }

  private reportRejected(version: number, faults: readonly ConfigurationFault[]): void {
    if (this.rejectedVersion === version) return;
    this.rejectedVersion = version;
    const [fault] = faults;
    this.context.log(logEvents.configurationRejected, {
      version,
      path: fault?.path,
      fault: fault?.message,
    });
  }

  private poll(): void {
    this.store.readHead((reply) => this.handleHeadRead(reply));
  }

  private schedulePoll(minMs: number, maxMs: number): void {
    this.context.schedule(minMs + this.context.drawRandom() * (maxMs - minMs), () => this.poll());
  }

  private handleHeadRead(reply: Result<StoredHead | undefined, PlatformFailure>): void {
    if (reply.err) {
      this.handleStoreFailure();
      return;
    }
    const row = reply.val?.row;
    this.checkStoreRegression(row);
    if (row === undefined || row.version <= this.version) {
      this.handleConfirmation();
    } else if (row.configuration !== undefined) {
      this.applyDocument(row, row.configuration, 0);
      this.handleConfirmation();
    } else {
      this.readDocument(row);
    }
  }

  private readDocument(row: HeadRow): void {
    this.store.readDocument(row.changeId, (reply) => {
      if (reply.err) {
        this.handleStoreFailure();
        return;
      }
      this.applyDocument(row, reply.val?.configuration, 0);
      this.handleConfirmation();
    });
  }

  private handleConfirmation(): void {
    this.hasStoreAnswered = true;
    this.recordConfirmation(0);
    this.schedulePoll(MIN_POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS);
    this.updateSynced();
  }

  private handleStoreFailure(): void {
    this.hasStoreFailed = true;
    this.schedulePoll(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    this.updateSynced();
  }

  private recordConfirmation(ageMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs ?? -Infinity, this.context.nowMs - ageMs);
    this.armStaleTimer();
    if (!this.isStale || ageMs >= STALE_AFTER_MS) return;
    this.isStale = false;
    this.context.log(logEvents.configurationConfirmed, { version: this.version });
  }

  private armStaleTimer(): void {
    this.staleTimer?.cancel();
    this.staleTimer = this.context.schedule(STALE_AFTER_MS, () => {
      if (this.isStale) return;
      this.isStale = true;
      this.context.log(logEvents.configurationStale, { version: this.version, ageMs: this.ageMs });
    });
  }

  /**
   * Logs when the table service has a lower version, for example after a restore. The lower version
   * is not adopted.
   */
  private checkStoreRegression(row: HeadRow | undefined): void {
    const found = row?.version ?? 0;
    const isLower = found < this.version;
    if (isLower && !this.hasStoreRegressed) {
      this.context.log(logEvents.configurationWentBack, { version: this.version, found });
    }
    this.hasStoreRegressed = isLower;
  }

  /** Finishes the initial synchronization when the conditions of `onSynced` hold. */
  private updateSynced(): void {
    if (this.isSynced || this.current === undefined) return;
    if (this.hasStoreAnswered) this.finishSync();
    else if (this.hasStoreFailed) {
      this.syncTimer ??= this.context.schedule(PEER_SYNC_WAIT_MS, () => this.finishSync());
    }
  }

  private finishSync(): void {
    if (this.isSynced) return;
    this.isSynced = true;
    this.syncTimer?.cancel();
    this.listeners.onSynced();
  }
}
