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
import type { NodeContext } from '../seam/node-context.js';
import type { Timer } from '../timers/timer-queue.js';
import { ConfigurationStore, type HeadReading } from './configuration-store.js';
import {
  PEER_SETTLE_MS,
  POLL_MAX_MS,
  POLL_MIN_MS,
  RETRY_MAX_MS,
  RETRY_MIN_MS,
  STALE_AFTER_MS,
} from './consts.js';

export interface KeeperListeners {
  /** A higher version is in force on this entry VM. */
  readonly onAdopted: (head: ConfigurationHead) => void;
  /** A version is in force, and the store or, in its silence, the peers were asked for a higher one. */
  readonly onSettled: () => void;
}

/** Keeps the highest configuration version that this entry VM has seen. Versions only go up. */
export class ConfigurationKeeper {
  private current: ConfigurationHead | undefined;

  private confirmedAtMs: MonotonicMs | undefined;

  private settled = false;

  private storeAnswered = false;

  private storeSilent = false;

  private settleTimer: Timer | undefined;

  private staleTimer: Timer | undefined;

  private stale = false;

  private wentBack = false;

  private rejectedVersion: number | undefined;

  private readonly store: ConfigurationStore;

  constructor(
    private readonly context: NodeContext,
    private readonly listeners: KeeperListeners,
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

  /** Time since the platform last confirmed the version to this entry VM, or to the peer it came from. */
  get ageMs(): number | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.context.nowMs - this.confirmedAtMs;
  }

  /**
   * Takes a head that was checked; anything but a higher version is passed over.
   *
   * @param ageMs time since the platform confirmed it to whoever sent it
   */
  offerHead(head: ConfigurationHead, ageMs?: number): void {
    if (head.version <= this.version) return;
    const { version, configuration } = head;
    this.current = head;
    if (ageMs !== undefined) this.confirm(ageMs);
    this.context.emit({ kind: 'configuration.adopted', version, configuration });
    this.context.log(logEvents.configurationAdopted, { version });
    this.listeners.onAdopted(head);
    this.updateSettled();
  }

  /** Checks a document of unknown origin and takes it where it is valid. */
  offerDocument(row: unknown, document: unknown, ageMs?: number): void {
    if (!isHeadRow(row)) return;
    const { version, changeId, author, committedAtMs } = row;
    if (version <= this.version) return;
    const parsed = parseConfiguration(document);
    if (parsed.ok) {
      const configuration = parsed.val;
      this.offerHead({ version, changeId, author, committedAtMs, configuration }, ageMs);
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
    this.store.readHead((reply) => this.acceptReading(reply));
  }

  private schedulePoll(minMs: number, maxMs: number): void {
    this.context.schedule(minMs + this.context.drawRandom() * (maxMs - minMs), () => this.poll());
  }

  private acceptReading(reply: Result<HeadReading | undefined, PlatformFailure>): void {
    if (reply.err) {
      this.acceptSilence();
      return;
    }
    const row = reply.val?.row;
    this.checkWentBack(row);
    if (row === undefined || row.version <= this.version) {
      this.acceptConfirmation();
    } else if (row.configuration !== undefined) {
      this.offerDocument(row, row.configuration, 0);
      this.acceptConfirmation();
    } else {
      this.readDocument(row);
    }
  }

  private readDocument(row: HeadRow): void {
    this.store.readDocument(row.changeId, (reply) => {
      if (reply.err) {
        this.acceptSilence();
        return;
      }
      this.offerDocument(row, reply.val?.configuration, 0);
      this.acceptConfirmation();
    });
  }

  private acceptConfirmation(): void {
    this.storeAnswered = true;
    this.confirm(0);
    this.schedulePoll(POLL_MIN_MS, POLL_MAX_MS);
    this.updateSettled();
  }

  private acceptSilence(): void {
    this.storeSilent = true;
    this.schedulePoll(RETRY_MIN_MS, RETRY_MAX_MS);
    this.updateSettled();
  }

  private confirm(ageMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs ?? -Infinity, this.context.nowMs - ageMs);
    this.armStaleTimer();
    if (!this.stale || ageMs >= STALE_AFTER_MS) return;
    this.stale = false;
    this.context.log(logEvents.configurationConfirmed, { version: this.version });
  }

  private armStaleTimer(): void {
    this.staleTimer?.cancel();
    this.staleTimer = this.context.schedule(STALE_AFTER_MS, () => {
      if (this.stale) return;
      this.stale = true;
      this.context.log(logEvents.configurationStale, { version: this.version, ageMs: this.ageMs });
    });
  }

  /** A table service that was set back must not take a version from anybody. */
  private checkWentBack(row: HeadRow | undefined): void {
    const found = row?.version ?? 0;
    const isLower = found < this.version;
    if (isLower && !this.wentBack) {
      this.context.log(logEvents.configurationWentBack, { version: this.version, found });
    }
    this.wentBack = isLower;
  }

  /** Settled once the store has answered, or, while it is silent, shortly after a peer has. */
  private updateSettled(): void {
    if (this.settled || this.current === undefined) return;
    if (this.storeAnswered) this.settle();
    else if (this.storeSilent) {
      this.settleTimer ??= this.context.schedule(PEER_SETTLE_MS, () => this.settle());
    }
  }

  private settle(): void {
    if (this.settled) return;
    this.settled = true;
    this.settleTimer?.cancel();
    this.listeners.onSettled();
  }
}
