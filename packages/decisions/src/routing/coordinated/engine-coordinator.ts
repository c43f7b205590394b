import type {
  Engine,
  EndpointId,
  EngineSummary,
  EngineUsage,
  EntryVmId,
  MonotonicMs,
  RequestId,
  RoutingMessage,
} from '@savorywind/model';
import type { FleetIndex } from '../fleet-index.js';
import type { RouterDependencies } from '../types.js';
import { estimateDecodeMs, estimatePrefillMs } from '../work-estimate.js';
import {
  ADMISSION_FRACTION,
  OVER_SHARE_ADMISSION_FRACTION,
  MAX_QUEUED_REQUESTS,
} from './consts.js';
import { EngineAccount } from './engine-account.js';
import { queueOrders } from './queue-orders.js';
import type { FairShareTracker } from './fair-share-tracker.js';
import type { CoordinatedPolicy, QueuedRequest } from './types.js';

type SlotRequestMessage = Extract<RoutingMessage, { readonly kind: 'slot.ask' }>;

interface EngineCoordinatorDependencies extends RouterDependencies {
  readonly index: FleetIndex;
  readonly policy: CoordinatedPolicy;
  readonly fairShares: FairShareTracker;
  readonly isLight: (promptTokens: number) => boolean;
  readonly readSlowdownWeight: () => number;
  /** Sends a message to a peer, or delivers it locally if the peer is this entry VM. */
  readonly send: (peer: EntryVmId, message: RoutingMessage) => void;
}

/**
 * A request is urgent, and granted before all others, if its slack is below this fraction of its
 * total time. Slack is the time to the deadline minus the estimated prefill and decode time.
 */
const URGENT_SLACK_FRACTION = 0.35;

/** Shortest retry-after time of a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

interface RankedRequest {
  readonly request: QueuedRequest;
  /** A lower group is granted first, whatever the rank. */
  readonly group: number;
  readonly rank: number;
}

/** Queues and grants slot requests for the engines that this entry VM coordinates. */
export class EngineCoordinator {
  private readonly accounts = new Map<EndpointId, EngineAccount>();

  constructor(private readonly dependencies: EngineCoordinatorDependencies) {}

  get accountCount(): number {
    return this.accounts.size;
  }

  /** Queues, grants or refuses a slot request; a repeated one confirms its grant or queue entry. */
  handleSlotRequest(peer: EntryVmId, message: SlotRequestMessage): void {
    const { requestId, engine } = message;
    const account = this.findAccount(engine);
    if (account === undefined) return;
    const { nowMs } = this.dependencies.context;
    account.updateUsage(peer, message.lightBacklogMs, message.lightTokens, nowMs);
    const grant = account.findGrant(requestId);
    if (grant !== undefined) {
      grant.confirmedAtMs = nowMs;
      this.dependencies.send(peer, { kind: 'slot.grant', requestId, engine });
      return;
    }
    const queued = account.queue.get(requestId);
    if (queued !== undefined) {
      queued.lastRequestedAtMs = nowMs;
      return;
    }
    this.queueRequest(account, this.createQueuedRequest(account.engine, peer, message));
  }

  /** Updates this entry VM's light work on an engine without waiting for the next round. */
  updateLocalUsage(engine: EndpointId, lightBacklogMs: number, lightTokens: number): void {
    const account = this.accounts.get(engine);
    if (account === undefined || account.queue.size === 0) return;
    const { self, nowMs } = this.dependencies.context;
    account.updateUsage(self.id, lightBacklogMs, lightTokens, nowMs);
    this.grantQueued(account);
  }

  handlePrefilled(engine: EndpointId, requestId: RequestId): void {
    const account = this.accounts.get(engine);
    account?.recordPrefilled(requestId, this.dependencies.context.nowMs);
    this.grantQueued(account);
  }

  handleRelease(engine: EndpointId, requestId: RequestId, rejected: boolean): void {
    const account = this.accounts.get(engine);
    account?.release(requestId, rejected, this.dependencies.context.nowMs);
    this.grantQueued(account);
  }

  handleUsageReports(peer: EntryVmId, usages: readonly EngineUsage[]): void {
    usages.forEach((usage) => {
      const account = this.findAccount(usage.engine);
      account?.handleUsageReport(peer, usage, this.dependencies.context.nowMs);
    });
  }

  /** Removes unconfirmed entries, and grants the queued requests that fit now. */
  sweep(): void {
    this.accounts.forEach((account, engine) => {
      account.expireUnconfirmed(this.dependencies.context.nowMs);
      if (account.isIdle) this.accounts.delete(engine);
      else this.grantQueued(account);
    });
  }

  listSummaries(peer: EntryVmId, peerCount: number, roundMs: number): EngineSummary[] {
    const { nowMs } = this.dependencies.context;
    return [...this.accounts.values()].map((account) =>
      account.createSummary(peer, peerCount, roundMs, nowMs),
    );
  }

  private queueRequest(account: EngineAccount, request: QueuedRequest): void {
    const lateMs = this.estimateLateMs(account, request);
    if (lateMs > 0 || account.queue.size >= MAX_QUEUED_REQUESTS) {
      const { requestId, peer } = request;
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.round(lateMs));
      const engine = account.engine.id;
      this.dependencies.send(peer, { kind: 'slot.refuse', requestId, engine, retryAfterMs });
      return;
    }
    account.queue.set(request.requestId, request);
    this.grantQueued(account);
  }

  /** Time by which a request is estimated to miss its admission limit; 0 or less if it does not. */
  private estimateLateMs(account: EngineAccount, request: QueuedRequest): number {
    const { context, policy } = this.dependencies;
    if (policy.admission === 'none') return 0;
    const { nowMs } = context;
    const isOver = this.isOverShare(request);
    const finishMs = account.estimateFinishMs(
      request,
      nowMs,
      (other) => isOver || !this.isOverShare(other),
    );
    const fraction = isOver ? OVER_SHARE_ADMISSION_FRACTION : ADMISSION_FRACTION;
    return finishMs - fraction * (request.deadlineMs - nowMs);
  }

  private isOverShare({ team }: QueuedRequest): boolean {
    const { context, policy, fairShares } = this.dependencies;
    return policy.fairness === 'byWeight' && fairShares.isOverShare(team, context.nowMs);
  }

  private grantQueued(account: EngineAccount | undefined): void {
    if (account === undefined) return;
    const { context, send, fairShares } = this.dependencies;
    const engine = account.engine.id;
    account.grantQueued(
      (requests, fits) => this.pickRequest(requests, fits, context.nowMs),
      context.nowMs,
      ({ peer, requestId, team, prefillMs }) => {
        fairShares.record(team, prefillMs, context.nowMs);
        send(peer, { kind: 'slot.grant', requestId, engine });
      },
    );
  }

  /**
   * Picks urgent requests first, then those of teams within their fair share, then by the policy's
   * order. Others may overtake a request that does not fit yet, unless it is urgent or has waited
   * for as long as its prefill takes.
   */
  private pickRequest(
    requests: readonly QueuedRequest[],
    fits: (request: QueuedRequest) => boolean,
    nowMs: MonotonicMs,
  ): QueuedRequest | undefined {
    const ranked = requests
      .map((request) => this.rankQueued(request, nowMs))
      .sort((a, b) => a.group - b.group || a.rank - b.rank);
    for (const { request, group } of ranked) {
      if (fits(request)) return request;
      const mayBeSkipped = group > 0 && nowMs - request.arrivedAtMs < request.prefillMs;
      if (!mayBeSkipped) return undefined;
    }
    return undefined;
  }

  private rankQueued(request: QueuedRequest, nowMs: MonotonicMs): RankedRequest {
    const { policy, readSlowdownWeight } = this.dependencies;
    const slackMs = request.deadlineMs - nowMs - request.decodeMs - request.prefillMs;
    if (slackMs < URGENT_SLACK_FRACTION * (request.deadlineMs - request.arrivedAtMs)) {
      return { request, group: 0, rank: request.deadlineMs };
    }
    const rank = queueOrders[policy.order](request, nowMs, readSlowdownWeight());
    return { request, group: this.isOverShare(request) ? 2 : 1, rank };
  }

  private createQueuedRequest(
    engine: Engine,
    peer: EntryVmId,
    message: SlotRequestMessage,
  ): QueuedRequest {
    const { nowMs } = this.dependencies.context;
    const { requestId, team, promptTokens, outputTokens, waitedMs, leftMs, savedMs = 0 } = message;
    const unsavedMs = estimatePrefillMs(engine, promptTokens);
    return {
      requestId,
      peer,
      team,
      isLight: this.dependencies.isLight(promptTokens),
      tokens: promptTokens + outputTokens,
      prefillMs: unsavedMs - Math.min(Math.max(0, savedMs), unsavedMs),
      decodeMs: estimateDecodeMs(engine, outputTokens),
      arrivedAtMs: nowMs - waitedMs,
      deadlineMs: nowMs + leftMs,
      lastRequestedAtMs: nowMs,
    };
  }

  private findAccount(id: EndpointId): EngineAccount | undefined {
    const found = this.accounts.get(id);
    if (found !== undefined) return found;
    const engine = this.dependencies.index.findEngine(id);
    if (engine === undefined) return undefined;
    const account = new EngineAccount(engine);
    this.accounts.set(id, account);
    return account;
  }
}
