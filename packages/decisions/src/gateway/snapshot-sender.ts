import type { GatewayEndpoint, NetworkAddress, WorkSnapshot } from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import {
  DATAGRAM_HEADER_BYTES,
  ENGINE_WORK_BYTES,
  CRASH_OBSERVATION_BYTES,
  HARM_OBSERVATION_BYTES,
  IDLE_SNAPSHOT_BYTES,
  LEAVING_OBSERVATION_BYTES,
  LIMIT_OBSERVATION_BYTES,
  SNAPSHOT_DELAY_MS,
  SNAPSHOT_INTERVAL_MS,
} from './consts.js';
import type { FleetLoadTracker, SnapshotFields } from './fleet-load-tracker.js';
import type { GatewayContext } from './gateway-context.js';
import type { SnapshotFrequency } from './peer-table.js';
import { TrafficBudget } from './traffic-budget.js';

/**
 * Fraction of the VM's link that snapshots may use, for the frequent and for the periodic recipients
 * each. The rest is for requests: attempts and their ends must reach engines well within half a second
 * after a caller has disconnected, and a round of snapshots takes the link for a few ten milliseconds.
 */
const LINK_FRACTION = 0.1;

/**
 * Longest time by which snapshots that are sent at once may use up a budget in advance, in milliseconds.
 * Beyond it a long prompt is told like any other work.
 */
const MAX_ADVANCE_MS = SNAPSHOT_INTERVAL_MS;

/**
 * Called when the work of this entry VM has changed.
 *
 * @param longWorkAt engines that begin with the prefill of a long prompt, if that is the change
 */
export type WorkChanged = (longWorkAt?: readonly GatewayEndpoint[]) => void;

/**
 * Estimates the size of the datagram with a snapshot, network headers included, in bytes. Peers of
 * earlier builds get the snapshot in a longer form, which is not taken into account.
 *
 * @example
 * estimateDatagramBytes(snapshot); // 578 for work on ten engines
 */
export const estimateDatagramBytes = ({
  work,
  limits = [],
  leaving = [],
  harm = [],
}: WorkSnapshot): number =>
  DATAGRAM_HEADER_BYTES +
  IDLE_SNAPSHOT_BYTES +
  work.length * ENGINE_WORK_BYTES +
  limits.length * LIMIT_OBSERVATION_BYTES +
  leaving.length * LEAVING_OBSERVATION_BYTES +
  harm.reduce(
    (sum, { suspect, crashes }) =>
      sum + HARM_OBSERVATION_BYTES + suspect.length + crashes.length * CRASH_OBSERVATION_BYTES,
    0,
  );

/**
 * Sends the work of this entry VM, the limits of endpoints that it knows of, those that
 * leave, and the version of its
 * configuration to its peers: to some after each change, to the others at intervals,
 * and to all within a fraction of the VM's link. A delayed snapshot carries the changes up to its
 * sending.
 */
export class SnapshotSender {
  private readonly budgets: Readonly<Record<SnapshotFrequency, TrafficBudget>>;

  private frequentTimer: Timer | undefined;

  /** Whether the timer was armed for a change, and not only to send the same work again. */
  private hasPendingChange = false;

  private periodicTimer: Timer | undefined;

  /** @param linkBytesPerMs rate of this VM's link, in bytes per millisecond */
  constructor(
    private readonly context: GatewayContext,
    private readonly fleetLoad: FleetLoadTracker,
    /** Returns what a snapshot tells besides the work. */
    private readonly describeFields: (frequency: SnapshotFrequency) => SnapshotFields,
    linkBytesPerMs: number,
  ) {
    const bytesPerMs = LINK_FRACTION * linkBytesPerMs;
    this.budgets = {
      frequent: new TrafficBudget(bytesPerMs),
      periodic: new TrafficBudget(bytesPerMs),
    };
  }

  changeLink(linkBytesPerMs: number): void {
    Object.values(this.budgets).forEach((budget) =>
      budget.changeRate(LINK_FRACTION * linkBytesPerMs),
    );
  }

  /**
   * Sends a snapshot soon, so that it carries several changes. In a large fleet, where that takes a part
   * of a second, peers are told of a long prompt at once: another one on the same engines would wait for
   * all of its prefill.
   */
  handleWorkChanged(longWorkAt: readonly GatewayEndpoint[] = []): void {
    if (longWorkAt.length > 0 && this.maySendAtOnce()) this.sendAtOnce(longWorkAt);
    else this.armForChange(SNAPSHOT_DELAY_MS);
  }

  private maySendAtOnce(): boolean {
    const latestMs = this.context.nowMs + MAX_ADVANCE_MS;
    const isAdvanced = Object.values(this.budgets).some(
      ({ availableAtMs }) => availableAtMs > latestMs,
    );
    return this.fleetLoad.peers.hasPeriodicPeers && !isAdvanced;
  }

  private sendAtOnce(longWorkAt: readonly GatewayEndpoint[]): void {
    const domains = new Set(longWorkAt.map(({ failureDomain }) => failureDomain));
    const recipients = this.fleetLoad.peers.takeUrgentRecipients(domains, this.context.nowMs);
    this.sendTo('frequent', recipients.frequent);
    this.sendTo('periodic', recipients.periodic);
  }

  /** Introduces this entry VM to peers that have just become known. */
  handlePeersAdded(): void {
    this.armForChange(0);
  }

  private armForChange(delayMs: number): void {
    if (this.hasPendingChange) return;
    this.hasPendingChange = true;
    this.armFrequentTimer(delayMs);
  }

  private armFrequentTimer(delayMs: number): void {
    this.frequentTimer?.cancel();
    const budgetDelayMs = this.budgets.frequent.availableAtMs - this.context.nowMs;
    this.frequentTimer = this.context.schedule(Math.max(delayMs, budgetDelayMs), () =>
      this.sendFrequent(),
    );
  }

  private sendFrequent(): void {
    this.hasPendingChange = false;
    this.send('frequent');
    this.armFrequentTimer(this.fleetLoad.peers.estimateIntervalMs('frequent'));
    if (this.fleetLoad.peers.hasPeriodicPeers) this.periodicTimer ??= this.armPeriodicTimer();
  }

  private armPeriodicTimer(): Timer {
    return this.context.schedule(SNAPSHOT_INTERVAL_MS, () => this.sendPeriodic());
  }

  private sendPeriodic(): void {
    this.periodicTimer = this.armPeriodicTimer();
    if (this.budgets.periodic.availableAtMs <= this.context.nowMs) this.send('periodic');
  }

  private send(frequency: SnapshotFrequency): void {
    this.sendTo(frequency, this.fleetLoad.peers.takeRecipients(frequency, this.context.nowMs));
  }

  private sendTo(frequency: SnapshotFrequency, peers: readonly NetworkAddress[]): void {
    if (peers.length === 0) return;
    const { context, fleetLoad } = this;
    const snapshot = fleetLoad.createSnapshot(this.describeFields(frequency), context.nowMs);
    this.budgets[frequency].take(peers.length * estimateDatagramBytes(snapshot), context.nowMs);
    context.emit({ kind: 'peers.send', snapshot, peers });
  }
}
