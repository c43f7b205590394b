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
import { ADMISSION_SHARE, OVER_SHARE_ADMISSION, QUEUE_LIMIT } from './consts.js';
import { EngineAccount } from './engine-account.js';
import { queueOrders } from './queue-orders.js';
import type { TeamShares } from './team-shares.js';
import type { HomePolicy, QueuedAsk } from './types.js';

type AskMessage = Extract<RoutingMessage, { readonly kind: 'slot.ask' }>;

interface HomeDeskDependencies extends RouterDependencies {
  readonly index: FleetIndex;
  readonly policy: HomePolicy;
  readonly shares: TeamShares;
  readonly isLight: (promptTokens: number) => boolean;
  readonly readSlowdownWeight: () => number;
  /** Carries a message to a peer, or back to this entry VM's own asking side. */
  readonly send: (peer: EntryVmId, message: RoutingMessage) => void;
}

/** An ask that has less than this share of its time left is granted before all others. */
const GUARD_SHARE = 0.35;

const LEAST_RETRY_MS = 1_000;

interface RankedAsk {
  readonly ask: QueuedAsk;
  /** Lower ones first, whatever their rank. */
  readonly group: number;
  readonly rank: number;
}

/** The accounts of the engines that this entry VM is the home of. */
export class HomeDesk {
  private readonly accounts = new Map<EndpointId, EngineAccount>();

  constructor(private readonly dependencies: HomeDeskDependencies) {}

  get accountCount(): number {
    return this.accounts.size;
  }

  acceptAsk(peer: EntryVmId, message: AskMessage): void {
    const { requestId, engine } = message;
    const account = this.findAccount(engine);
    if (account === undefined) return;
    const { nowMs } = this.dependencies.context;
    account.refreshUsage(peer, message.lightBacklogMs, message.lightTokens, nowMs);
    const hold = account.findHold(requestId);
    if (hold !== undefined) {
      hold.confirmedAtMs = nowMs;
      this.dependencies.send(peer, { kind: 'slot.grant', requestId, engine });
      return;
    }
    const queued = account.queue.get(requestId);
    if (queued !== undefined) {
      queued.refreshedAtMs = nowMs;
      return;
    }
    this.queueAsk(account, this.createAsk(account.engine, peer, message));
  }

  /** This entry VM's own light work at an engine has changed. */
  refreshOwn(engine: EndpointId, lightBacklogMs: number, lightTokens: number): void {
    const account = this.accounts.get(engine);
    if (account === undefined || account.queue.size === 0) return;
    const { self, nowMs } = this.dependencies.context;
    account.refreshUsage(self.id, lightBacklogMs, lightTokens, nowMs);
    this.grantWaiting(account);
  }

  acceptPrefilled(engine: EndpointId, requestId: RequestId): void {
    const account = this.accounts.get(engine);
    account?.acceptPrefilled(requestId, this.dependencies.context.nowMs);
    this.grantWaiting(account);
  }

  acceptRelease(engine: EndpointId, requestId: RequestId, rejected: boolean): void {
    const account = this.accounts.get(engine);
    account?.release(requestId, rejected, this.dependencies.context.nowMs);
    this.grantWaiting(account);
  }

  acceptUsages(peer: EntryVmId, usages: readonly EngineUsage[]): void {
    usages.forEach((usage) => {
      const account = this.findAccount(usage.engine);
      account?.acceptUsage(peer, usage, this.dependencies.context.nowMs);
    });
  }

  /** Drops what nobody confirms, and grants what has become possible. */
  sweep(): void {
    this.accounts.forEach((account, engine) => {
      account.dropUnconfirmed(this.dependencies.context.nowMs);
      if (account.isIdle) this.accounts.delete(engine);
      else this.grantWaiting(account);
    });
  }

  listSummaries(peer: EntryVmId, peerCount: number, roundMs: number): EngineSummary[] {
    const { nowMs } = this.dependencies.context;
    return [...this.accounts.values()].map((account) =>
      account.createSummary(peer, peerCount, roundMs, nowMs),
    );
  }

  private queueAsk(account: EngineAccount, ask: QueuedAsk): void {
    const lateMs = this.measureLateMs(account, ask);
    if (lateMs > 0 || account.queue.size >= QUEUE_LIMIT) {
      const { requestId, peer } = ask;
      const retryAfterMs = Math.max(LEAST_RETRY_MS, Math.round(lateMs));
      const engine = account.engine.id;
      this.dependencies.send(peer, { kind: 'slot.refuse', requestId, engine, retryAfterMs });
      return;
    }
    account.queue.set(ask.requestId, ask);
    this.grantWaiting(account);
  }

  /** By how much an ask would miss the part of its time that admission counts on. */
  private measureLateMs(account: EngineAccount, ask: QueuedAsk): number {
    const { context, policy } = this.dependencies;
    if (policy.admission === 'none') return 0;
    const { nowMs } = context;
    const over = this.isOver(ask);
    const finishMs = account.estimateFinishMs(ask, nowMs, (other) => over || !this.isOver(other));
    const share = over ? OVER_SHARE_ADMISSION : ADMISSION_SHARE;
    return finishMs - share * (ask.deadlineMs - nowMs);
  }

  private isOver({ team }: QueuedAsk): boolean {
    const { context, policy, shares } = this.dependencies;
    return policy.fairness === 'byWeight' && shares.isOver(team, context.nowMs);
  }

  private grantWaiting(account: EngineAccount | undefined): void {
    if (account === undefined) return;
    const { context, send, shares } = this.dependencies;
    const engine = account.engine.id;
    account.grantWaiting(
      (asks, fits) => this.pickAsk(asks, fits, context.nowMs),
      context.nowMs,
      ({ peer, requestId, team, workMs }) => {
        shares.record(team, workMs, context.nowMs);
        send(peer, { kind: 'slot.grant', requestId, engine });
      },
    );
  }

  /**
   * Those whose time runs short first, then teams within their share, then the policy's order. One
   * that does not fit yet may be passed by until it has waited as long as it takes.
   */
  private pickAsk(
    asks: readonly QueuedAsk[],
    fits: (ask: QueuedAsk) => boolean,
    nowMs: MonotonicMs,
  ): QueuedAsk | undefined {
    const ranked = asks
      .map((ask) => this.rankAsk(ask, nowMs))
      .sort((a, b) => a.group - b.group || a.rank - b.rank);
    for (const { ask, group } of ranked) {
      if (fits(ask)) return ask;
      const patient = group > 0 && nowMs - ask.arrivedAtMs < ask.workMs;
      if (!patient) return undefined;
    }
    return undefined;
  }

  private rankAsk(ask: QueuedAsk, nowMs: MonotonicMs): RankedAsk {
    const { policy, readSlowdownWeight } = this.dependencies;
    const slackMs = ask.deadlineMs - nowMs - ask.decodeMs - ask.workMs;
    if (slackMs < GUARD_SHARE * (ask.deadlineMs - ask.arrivedAtMs)) {
      return { ask, group: 0, rank: ask.deadlineMs };
    }
    const rank = queueOrders[policy.order](ask, nowMs, readSlowdownWeight());
    return { ask, group: this.isOver(ask) ? 2 : 1, rank };
  }

  private createAsk(engine: Engine, peer: EntryVmId, message: AskMessage): QueuedAsk {
    const { nowMs } = this.dependencies.context;
    const { requestId, team, promptTokens, outputTokens, waitedMs, leftMs } = message;
    return {
      requestId,
      peer,
      team,
      light: this.dependencies.isLight(promptTokens),
      tokens: promptTokens + outputTokens,
      workMs: estimatePrefillMs(engine, promptTokens),
      decodeMs: estimateDecodeMs(engine, outputTokens),
      arrivedAtMs: nowMs - waitedMs,
      deadlineMs: nowMs + leftMs,
      refreshedAtMs: nowMs,
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
