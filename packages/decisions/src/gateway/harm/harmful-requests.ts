import {
  logEvents,
  type GatewayPeer,
  type HarmObservation,
  type MonotonicMs,
} from '@savorywind/model';
import { hashText, rankOwners } from '../../membership/rendezvous.js';
import type { GatewayContext } from '../gateway-context.js';
import type { PeerTable, SnapshotFrequency } from '../peer-table.js';
import type { EndpointAttempt, GatewayAttempt, GatewayRecord } from '../request-record.js';
import type { EndpointProcess } from '../types.js';
import { addCrashTo } from './add-crash-to.js';
import { BegunHistory } from './begun-history.js';
import {
  CRASH_CONFIRMATION_MS,
  LARGE_FLEET_TURN_MS,
  MAX_TRIAL_WAIT_MS,
  REQUEST_DEPTH,
  SOUND_AFTER_MS,
  TIME_TOLERANCE_MS,
  TOLD_DELAY_MS,
  TRIAL_TURN_MS,
} from './consts.js';
import { findBlockedSuspects } from './find-blocked-suspects.js';
import { HarmReport } from './harm-report.js';
import { listCommonFeatures } from './list-common-features.js';
import { LostProcesses } from './lost-processes.js';
import { SuspectTable } from './suspect-table.js';
import type {
  BlockedSuspect,
  CommonFeature,
  Crash,
  HarmUsage,
  RunDecision,
  Suspect,
} from './types.js';

export interface HarmfulRequestsOptions {
  readonly context: GatewayContext;
  readonly self: GatewayPeer;
  readonly peers: PeerTable;
  /** Called when the peers have to know something at once. */
  readonly onChanged: () => void;
}

const hashProcess = ({ id, startedAtMs }: EndpointProcess): number =>
  hashText(`${id}@${startedAtMs ?? ''}`);

/**
 * Recognises requests that crash each engine that begins to answer them, by what they have in common, and
 * refuses them. The evidence of all entry VMs counts: they tell each other which engines were lost under
 * which suspects, and when an answer with a suspect has proved it sound. Such an answer acquits; without
 * one, a blocked suspect gets a trial now and then, one request of the whole fleet at a time.
 *
 * @example
 * harmful.recordLoss(record, attempt); // at each of several engines
 * harmful.decideRun(record); // 'refuse'
 */
export class HarmfulRequests {
  private readonly table = new SuspectTable();

  private readonly history = new BegunHistory();

  private readonly lost = new LostProcesses();

  /** When this entry VM last lost an attempt at each engine process that has sent it nothing since. */
  private readonly lossesMs = new Map<number, MonotonicMs>();

  private blocked: ReadonlyMap<string, BlockedSuspect> = new Map();

  private readonly blockedSinceMs = new Map<string, MonotonicMs>();

  private readonly report = new HarmReport();

  /** Whether evidence was added since the suspects were assessed. */
  private hasNewEvidence = false;

  private readonly counts = { crashes: 0, refused: 0, trials: 0 };

  constructor(private readonly options: HarmfulRequestsOptions) {}

  get usage(): HarmUsage {
    const { nowMs } = this.options.context;
    const blocked = [...this.blockedSinceMs].map(([suspect, sinceMs]) => ({
      suspect,
      blockedForMs: nowMs - sinceMs,
    }));
    return { suspects: this.table.size, blocked, ...this.counts };
  }

  /**
   * Records that an engine has sent an event. An engine may crash after the first events of a harmful answer,
   * but not go on for long: an event much later than the first one proves the request sound, again and again.
   */
  recordEvent(record: GatewayRecord, attempt: GatewayAttempt): void {
    const { nowMs } = this.options.context;
    if (attempt.provesSoundAtMs !== undefined) {
      if (nowMs < attempt.provesSoundAtMs) return;
      this.recordSound(record);
    }
    attempt.provesSoundAtMs = nowMs + SOUND_AFTER_MS;
  }

  /** Records that the answer to a request is complete, or has gone on for long, which no harmful one does. */
  recordSound(record: GatewayRecord): void {
    const { nowMs } = this.options.context;
    const isFirst = !record.isSound;
    record.isSound = true;
    listCommonFeatures(record).forEach(({ key, depth }) => {
      if (isFirst && depth !== REQUEST_DEPTH) this.history.record(key);
      const suspect = this.table.find(key);
      if (suspect === undefined) return;
      suspect.ownBegunAtMs = nowMs;
      this.acquit(suspect, nowMs);
    });
  }

  /** Records that an endpoint has sent something, which it would not do after a crash. */
  recordResponse(endpoint: EndpointProcess): void {
    if (this.lossesMs.size > 0) this.lossesMs.delete(hashProcess(endpoint));
  }

  /**
   * Records that the connection of an attempt broke, also shortly after its answer had begun. It counts as a
   * crash unless the engine sends something afterwards. The loss of a request that was proved sound is no
   * evidence, nor that of a long answer of another kind than a stream, of which a large part was sent.
   */
  recordLoss(record: GatewayRecord, { endpoint, startedAtMs, head }: EndpointAttempt): void {
    const isEvidence = !record.isSound && head?.content !== 'whole';
    const { context } = this.options;
    const lostAtMs = context.nowMs;
    const crash: Crash = {
      atMs: lostAtMs,
      tookMs: Math.round(lostAtMs - startedAtMs),
      request: hashText(record.request.fingerprint),
    };
    const process = hashProcess(endpoint);
    this.lossesMs.set(process, lostAtMs);
    context.schedule(CRASH_CONFIRMATION_MS, () => {
      if (!this.lossesMs.has(process)) return;
      const features = isEvidence ? listCommonFeatures(record) : [];
      this.lost.record(
        process,
        lostAtMs,
        features.map(({ key }) => key),
      );
      if (!isEvidence) return;
      this.counts.crashes += 1;
      features.forEach((feature) => this.addCrash(this.open(feature), process, crash));
      this.assess();
      this.options.onChanged();
    });
    context.schedule(2 * CRASH_CONFIRMATION_MS, () => {
      if (this.lossesMs.get(process) === lostAtMs) this.lossesMs.delete(process);
    });
  }

  /** Discards the losses that are not confirmed yet: this entry VM has lost its path, and no engine failed. */
  discardLosses(): void {
    this.lossesMs.clear();
  }

  /**
   * Decides whether a request may be sent to an engine, also to continue a stream that broke. Takes the trial of
   * a blocked suspect in this entry VM's turn; a new request waits for it if it comes soon.
   */
  decideRun(record: GatewayRecord): RunDecision {
    if (this.blocked.size === 0 || record.isSound) return 'run';
    if (record.isTrial && record.sends === 0) return 'run';
    const found = listCommonFeatures(record).flatMap(({ key }) => this.blocked.get(key) ?? []);
    if (found.length === 0) return 'run';
    const { nowMs } = this.options.context;
    const isDue = found.every(({ trialMs }) => nowMs >= trialMs);
    // Of several suspects the first decides whose turn it is; their turns might never meet.
    const waitMs = isDue ? this.estimateTurnWaitMs(found[0]!) : Number.POSITIVE_INFINITY;
    if (waitMs === 0) {
      found.forEach((blocked) => this.startTrial(record, blocked));
      return 'run';
    }
    if (waitMs <= MAX_TRIAL_WAIT_MS && record.sends === 0) return 'wait';
    this.counts.refused += 1;
    return 'refuse';
  }

  /** Lists what this entry VM knows, for a snapshot to the peers. */
  listObservations(frequency: SnapshotFrequency): HarmObservation[] | undefined {
    if (this.table.size === 0) return undefined;
    const { context, onChanged } = this.options;
    const told = this.report.list(this.table.list(), this.blocked, frequency, context.nowMs);
    if (this.report.hasUntold) context.schedule(0, onChanged);
    return told;
  }

  /** Tells a peer whose process has just started what is blocked. */
  handlePeerStarted(): void {
    if (this.blocked.size === 0) return;
    this.report.tellBlocks();
    this.options.onChanged();
  }

  /** Applies what a peer knows. */
  applyObservations(observations: readonly HarmObservation[]): void {
    observations.forEach((observation) => this.applyObservation(observation));
    if (this.hasNewEvidence) this.assess();
  }

  private applyObservation({
    suspect: key,
    depth,
    crashes,
    begunAgeMs,
    triedAgeMs,
  }: HarmObservation): void {
    const { nowMs } = this.options.context;
    const suspect = this.open({ key, depth });
    if (triedAgeMs !== undefined) this.recordToldTrial(suspect, nowMs - triedAgeMs);
    if (begunAgeMs !== undefined) this.acquit(suspect, nowMs - begunAgeMs);
    crashes.forEach(({ process, request, tookMs, ageMs }) =>
      this.addCrash(suspect, process, { atMs: nowMs - ageMs, tookMs, request }),
    );
  }

  private open(feature: CommonFeature): Suspect {
    return this.table.open(feature, this.options.context.nowMs);
  }

  private addCrash(suspect: Suspect, process: number, crash: Crash): void {
    if (crash.atMs <= suspect.begunAtMs + TOLD_DELAY_MS) return;
    if (!addCrashTo(suspect.crashes, process, crash)) return;
    suspect.changedAtMs = this.options.context.nowMs;
    this.hasNewEvidence = true;
  }

  /** Records a trial of a peer. The same one seems a little later in each message. */
  private recordToldTrial(suspect: Suspect, triedAtMs: MonotonicMs): void {
    if (triedAtMs <= suspect.triedAtMs + TIME_TOLERANCE_MS) return;
    suspect.triedAtMs = triedAtMs;
    this.hasNewEvidence = true;
  }

  /** Drops the crashes that an answer contradicts which has proved the suspect sound since. */
  private acquit(suspect: Suspect, begunAtMs: MonotonicMs): void {
    if (begunAtMs <= suspect.begunAtMs) return;
    suspect.begunAtMs = begunAtMs;
    const contradicted = [...suspect.crashes].filter(
      ([, { atMs }]) => atMs <= begunAtMs + TOLD_DELAY_MS,
    );
    if (contradicted.length === 0) return;
    contradicted.forEach(([process]) => suspect.crashes.delete(process));
    suspect.changedAtMs = this.options.context.nowMs;
    this.assess();
    this.options.onChanged();
  }

  /**
   * Estimates the time to this entry VM's next turn for a trial that is due; 0 in its turn. In a large fleet,
   * where the word of a trial takes long to reach all, the turns of entry VMs begin one after another and don't
   * end, so that it does not take long until one has a request.
   */
  private estimateTurnWaitMs({ suspect, trialMs }: BlockedSuspect): number {
    const { context, self, peers } = this.options;
    const dueForMs = context.nowMs - trialMs;
    const active = peers.listActive(context.nowMs).map(({ peer }) => peer.id);
    const owners = rankOwners(suspect.key, [self.id, ...active]);
    const turn = owners.indexOf(self.id);
    if (peers.hasPeriodicPeers)
      return dueForMs >= turn * LARGE_FLEET_TURN_MS ? 0 : Number.POSITIVE_INFINITY;
    const roundMs = owners.length * TRIAL_TURN_MS;
    const sinceTurnMs = (dueForMs - turn * TRIAL_TURN_MS + roundMs) % roundMs;
    return sinceTurnMs < TRIAL_TURN_MS ? 0 : roundMs - sinceTurnMs;
  }

  private startTrial(record: GatewayRecord, { suspect, crashes }: BlockedSuspect): void {
    const { context, onChanged } = this.options;
    record.isTrial = true;
    this.counts.trials += 1;
    suspect.triedAtMs = context.nowMs;
    suspect.ownTriedAtMs = context.nowMs;
    suspect.changedAtMs = context.nowMs;
    const { callerAttempt } = record.request;
    context.log(logEvents.suspectTried, { suspect: suspect.key, crashes, request: callerAttempt });
    this.assess();
    onChanged();
  }

  /** Decides anew which suspects are blocked. */
  private assess(): void {
    const { context } = this.options;
    this.hasNewEvidence = false;
    const previous = this.blocked;
    this.table.dropOutdated((key) => previous.has(key), context.nowMs);
    this.blocked = findBlockedSuspects(this.table.list(), {
      countProofs: (key) => this.history.count(key),
      lost: this.lost,
    });
    this.blocked.forEach(({ suspect, crashes }, key) => {
      if (previous.has(key)) return;
      this.blockedSinceMs.set(key, context.nowMs);
      const { size: engines } = suspect.crashes;
      context.log(logEvents.suspectBlocked, { suspect: key, crashes, engines });
    });
    previous.forEach((_blocked, key) => {
      if (this.blocked.has(key)) return;
      this.blockedSinceMs.delete(key);
      context.log(logEvents.suspectAcquitted, { suspect: key });
    });
  }
}
