import {
  resultCodes,
  type EndpointId,
  type EngineUsage,
  type Engine,
  type EntryVmId,
  type MonotonicMs,
  type Refusal,
  type RequestId,
  type RoutingMessage,
} from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import { TeamLimits } from '../../limits/team-limits.js';
import { FleetIndex } from '../fleet-index.js';
import type { Router, RouterDependencies, SlotAsk, SlotListener, SlotOutcome } from '../types.js';
import { countMemoryTokens, estimateDecodeMs, estimatePrefillMs } from '../work-estimate.js';
import {
  ADMISSION_SHARE,
  ASK_RETRY_MS,
  FIRST_RATE,
  OVER_SHARE_CREDIT,
  ROUND_MS,
  ROUND_PER_PEER_MS,
} from './consts.js';
import { EnginePicker } from './engine-picker.js';
import { EngineView } from './engine-view.js';
import { HomeDesk } from './home-desk.js';
import { rankRequest } from './priorities.js';
import { TeamShares } from './team-shares.js';
import type { HomePolicy } from './types.js';

const RETRY_AFTER_MS = 1_000;

/** Prompts up to this length are light: they spend credits and go ahead of longer ones. */
const LIGHT_PROMPT_TOKENS = 32_768;

const DEFAULT_SLOWDOWN_WEIGHT = 0.5;

interface Slot {
  readonly engine: Engine;
  /** Home that granted it; undefined where a credit was spent. */
  readonly home: EntryVmId | undefined;
  readonly tokens: number;
  readonly workMs: number;
  prefilled: boolean;
}

interface PendingAsk {
  readonly ask: SlotAsk;
  readonly listener: SlotListener;
  readonly askedAtMs: MonotonicMs;
  engine: Engine;
  home: EntryVmId;
  timer: Timer;
}

type MessageOf<Kind extends RoutingMessage['kind']> = Extract<
  RoutingMessage,
  { readonly kind: Kind }
>;

type MessageHandlers = {
  readonly [Kind in RoutingMessage['kind']]: (peer: EntryVmId, message: MessageOf<Kind>) => void;
};

/**
 * Places work with the help of homes: the home of an engine keeps its account, grants heavy requests
 * one by one, and gives each peer credits for light ones, which are then placed without a message.
 */
export class HomeRouter implements Router {
  private readonly index: FleetIndex;

  private readonly desk: HomeDesk;

  private readonly shares: TeamShares;

  private readonly limits: TeamLimits;

  private readonly picker: EnginePicker;

  private readonly views = new Map<EndpointId, EngineView>();

  private readonly slots = new Map<RequestId, Slot>();

  private readonly pending = new Map<RequestId, PendingAsk>();

  private readonly handlers: MessageHandlers;

  private peers: readonly EntryVmId[] = [];

  private reachable: ReadonlySet<EntryVmId> = new Set();

  constructor(
    private readonly dependencies: RouterDependencies,
    private readonly policy: HomePolicy,
  ) {
    const { readConfiguration } = dependencies;
    this.index = new FleetIndex(readConfiguration);
    this.shares = new TeamShares((team) => this.index.findWeight(team));
    this.limits = new TeamLimits((team) => this.index.findTeam(team));
    this.desk = new HomeDesk({
      ...dependencies,
      index: this.index,
      policy,
      shares: this.shares,
      isLight: (promptTokens) => promptTokens <= LIGHT_PROMPT_TOKENS,
      readSlowdownWeight: () => this.readSlowdownWeight(),
      send: (peer, message) => this.send(peer, message),
    });
    this.picker = new EnginePicker({
      ...dependencies,
      index: this.index,
      policy,
      findView: (engine) => this.findView(engine),
      readSlowdownWeight: () => this.readSlowdownWeight(),
    });
    this.handlers = this.createHandlers();
  }

  start(): void {
    this.runRound();
  }

  askSlot(ask: SlotAsk, listener: SlotListener): void {
    const refusal = this.findRefusal(ask);
    if (refusal !== undefined) {
      listener({ kind: 'refused', refusal });
      return;
    }
    if (HomeRouter.isLight(ask) && this.policy.grants === 'credits') this.placeLight(ask, listener);
    else this.askHome(ask, listener);
  }

  withdrawAsk(requestId: RequestId): void {
    this.limits.release(requestId);
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    this.dropPending(requestId, pending);
    this.sendRelease(pending.home, pending.engine.id, requestId, false);
  }

  recordFirstToken(requestId: RequestId): void {
    const slot = this.slots.get(requestId);
    if (slot === undefined || slot.prefilled) return;
    slot.prefilled = true;
    const view = this.findView(slot.engine);
    if (slot.home === undefined) {
      view.lightBacklogMs -= slot.workMs;
      this.refreshOwnDesk(view);
      return;
    }
    view.holdSlot({ requestId, tokens: slot.tokens, prefilled: true });
    this.send(slot.home, { kind: 'slot.prefilled', requestId, engine: slot.engine.id });
  }

  releaseSlot(requestId: RequestId, outcome: SlotOutcome): void {
    this.limits.release(requestId);
    const slot = this.slots.get(requestId);
    if (slot === undefined) return;
    this.slots.delete(requestId);
    const view = this.findView(slot.engine);
    const rejected = outcome === 'rejected';
    if (slot.home === undefined) {
      view.lightTokens -= slot.tokens;
      if (!slot.prefilled) view.lightBacklogMs -= slot.workMs;
      this.refreshOwnDesk(view);
    } else {
      view.dropSlot(requestId);
      this.sendRelease(slot.home, slot.engine.id, requestId, rejected);
    }
    if (rejected) view.markFull(this.dependencies.context.nowMs);
  }

  acceptMessage(peer: EntryVmId, message: RoutingMessage): void {
    const handler = this.handlers[message.kind] as (from: EntryVmId, given: RoutingMessage) => void;
    handler(peer, message);
  }

  private refreshOwnDesk({ engine, lightBacklogMs, lightTokens }: EngineView): void {
    this.desk.refreshOwn(engine.id, lightBacklogMs, lightTokens);
  }

  private createHandlers(): MessageHandlers {
    return {
      'slot.ask': (peer, message) => this.desk.acceptAsk(peer, message),
      'slot.grant': (peer, message) => this.acceptGrant(peer, message),
      'slot.refuse': (_peer, message) => this.acceptRefusal(message),
      'slot.prefilled': (_peer, { engine, requestId }) =>
        this.desk.acceptPrefilled(engine, requestId),
      'slot.release': (_peer, { engine, requestId, rejected }) =>
        this.desk.acceptRelease(engine, requestId, rejected),
      'slot.round': (peer, message) => this.acceptRound(peer, message),
    };
  }

  private findRefusal({ contract, avoid }: SlotAsk): Refusal | undefined {
    if (this.index.listEngines(contract.model).length === 0) {
      return { code: resultCodes.noEndpoint, ran: 'no', retryAfterMs: RETRY_AFTER_MS };
    }
    if (this.index.findLargestMemory(contract.model) < countMemoryTokens(contract)) {
      return { code: resultCodes.promptTooLong, ran: 'no' };
    }
    // A further attempt of a request was counted with its first.
    if (avoid !== undefined && avoid.size > 0) return undefined;
    const retryAfterMs = this.limits.admit(contract, this.dependencies.context.nowMs);
    if (retryAfterMs > 0) return { code: resultCodes.teamLimit, ran: 'no', retryAfterMs };
    return undefined;
  }

  private placeLight(ask: SlotAsk, listener: SlotListener): void {
    const { contract, deadlineMs } = ask;
    const { nowMs } = this.dependencies.context;
    const tokens = countMemoryTokens(contract);
    const part = this.isOverShare(ask) ? OVER_SHARE_CREDIT : 1;
    const engine = this.picker.pickForLight(ask, this.peers.length + 1, part);
    if (engine === undefined) {
      this.askHome(ask, listener);
      return;
    }
    const view = this.findView(engine);
    const workMs = estimatePrefillMs(engine, contract.promptTokens);
    const finishMs =
      (view.readBacklogMs(nowMs) + workMs) / FIRST_RATE +
      estimateDecodeMs(engine, contract.maxOutputTokens);
    const leftMs = deadlineMs - nowMs;
    if (this.policy.admission === 'byEstimate' && finishMs > leftMs * ADMISSION_SHARE) {
      const retryAfterMs = Math.max(RETRY_AFTER_MS, Math.round(finishMs - leftMs));
      const code = resultCodes.overloaded;
      listener({ kind: 'refused', refusal: { code, ran: 'no', retryAfterMs } });
      return;
    }
    view.placeLight(workMs, tokens);
    const { requestId } = contract;
    const priority = this.findPriority(ask, engine);
    this.shares.record(contract.team, workMs, nowMs);
    this.slots.set(requestId, { engine, home: undefined, tokens, workMs, prefilled: false });
    listener({ kind: 'granted', engine, priority });
  }

  private askHome(ask: SlotAsk, listener: SlotListener): void {
    const engine = this.picker.pickForHeavy(ask);
    if (engine === undefined) {
      const code = resultCodes.noEndpoint;
      const refusal = { code, ran: 'no', retryAfterMs: RETRY_AFTER_MS } as const;
      listener({ kind: 'refused', refusal });
      return;
    }
    const { requestId } = ask.contract;
    const pending: PendingAsk = {
      ask,
      listener,
      askedAtMs: this.dependencies.context.nowMs,
      engine,
      home: this.findHome(engine),
      timer: this.scheduleRetry(requestId),
    };
    this.pending.set(requestId, pending);
    this.sendAsk(pending);
  }

  private scheduleRetry(requestId: RequestId): Timer {
    return this.dependencies.context.schedule(ASK_RETRY_MS, () => this.retryAsk(requestId));
  }

  /** Asks again, where the first ask may be lost, its home gone, or another engine less busy. */
  private retryAsk(requestId: RequestId): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    pending.timer = this.scheduleRetry(requestId);
    const engine = this.picker.pickAgain(pending.ask, pending.engine);
    const home = this.findHome(engine);
    if (engine !== pending.engine || home !== pending.home) {
      this.sendRelease(pending.home, pending.engine.id, requestId, false);
      pending.engine = engine;
      pending.home = home;
    }
    this.sendAsk(pending);
  }

  private sendAsk({ ask, engine, home, askedAtMs }: PendingAsk): void {
    const { nowMs } = this.dependencies.context;
    const { requestId, team, promptTokens, maxOutputTokens } = ask.contract;
    const { lightBacklogMs, lightTokens } = this.findView(engine);
    this.send(home, {
      kind: 'slot.ask',
      requestId,
      engine: engine.id,
      team,
      promptTokens,
      outputTokens: maxOutputTokens,
      waitedMs: Math.round(nowMs - askedAtMs),
      leftMs: Math.round(ask.deadlineMs - nowMs),
      lightBacklogMs: Math.round(lightBacklogMs),
      lightTokens,
    });
  }

  private acceptGrant(peer: EntryVmId, { requestId, engine }: MessageOf<'slot.grant'>): void {
    const pending = this.pending.get(requestId);
    if (pending?.engine.id !== engine) {
      // Granted twice, or after the ask was withdrawn or went to another engine.
      const holds = this.slots.get(requestId)?.engine.id === engine;
      if (!holds) this.sendRelease(peer, engine, requestId, false);
      return;
    }
    this.dropPending(requestId, pending);
    const { ask, listener } = pending;
    const { contract } = ask;
    const tokens = countMemoryTokens(contract);
    const workMs = estimatePrefillMs(pending.engine, contract.promptTokens);
    const slot = { engine: pending.engine, home: peer, tokens, workMs, prefilled: false };
    this.slots.set(requestId, slot);
    this.findView(pending.engine).holdSlot({ requestId, tokens, prefilled: false });
    const priority = this.findPriority(ask, pending.engine);
    listener({ kind: 'granted', engine: pending.engine, priority });
  }

  private acceptRefusal({ requestId, engine, retryAfterMs }: MessageOf<'slot.refuse'>): void {
    const pending = this.pending.get(requestId);
    if (pending?.engine.id !== engine) return;
    this.dropPending(requestId, pending);
    const code = resultCodes.overloaded;
    pending.listener({ kind: 'refused', refusal: { code, ran: 'no', retryAfterMs } });
  }

  private acceptRound(
    peer: EntryVmId,
    { summaries, usages, demands }: MessageOf<'slot.round'>,
  ): void {
    const { self, nowMs } = this.dependencies.context;
    if (peer !== self.id) this.limits.acceptDemands(peer, demands, nowMs);
    summaries.forEach((summary) => {
      const engine = this.index.findEngine(summary.engine);
      if (engine !== undefined) this.findView(engine).acceptSummary(summary, nowMs);
    });
    this.desk.acceptUsages(peer, usages);
  }

  private runRound(): void {
    this.updatePeers();
    const roundMs = ROUND_MS + ROUND_PER_PEER_MS * this.peers.length;
    this.desk.sweep();
    const usages = this.takeUsagesByHome();
    const { self, nowMs } = this.dependencies.context;
    const demands = this.limits.takeDemands(nowMs);
    [self.id, ...this.peers].forEach((peer) => {
      const summaries = this.desk.listSummaries(peer, this.peers.length + 1, roundMs);
      const told = usages.get(peer) ?? [];
      if (summaries.length + told.length + demands.length === 0) return;
      this.send(peer, { kind: 'slot.round', summaries, usages: told, demands });
    });
    this.dependencies.context.schedule(roundMs, () => this.runRound());
  }

  /** Those that are live and linked in this failure domain. */
  private updatePeers(): void {
    const { context, membership } = this.dependencies;
    const { self } = context;
    const linked = new Set(membership.listLinked());
    this.peers = membership
      .listLive()
      .filter(
        ({ id, failureDomain }) =>
          failureDomain === self.failureDomain && id !== self.id && linked.has(id),
      )
      .map(({ id }) => id);
    this.reachable = new Set([self.id, ...this.peers]);
    const members = membership.listMembers();
    const near = members.filter(({ vm }) => vm.failureDomain === self.failureDomain).length;
    this.limits.setPlaces({ known: members.length + 1, near: near + 1 });
  }

  private takeUsagesByHome(): Map<EntryVmId, EngineUsage[]> {
    const byHome = new Map<EntryVmId, EngineUsage[]>();
    this.views.forEach((view) => {
      const usage = view.takeUsage();
      if (usage === undefined) return;
      const home = this.findHome(view.engine);
      byHome.set(home, [...(byHome.get(home) ?? []), usage]);
    });
    return byHome;
  }

  /** The home of an engine, or this entry VM in its place where no link reaches it. */
  private findHome(engine: Engine): EntryVmId {
    const home = this.dependencies.membership.findHome(engine);
    return home !== undefined && this.reachable.has(home)
      ? home
      : this.dependencies.context.self.id;
  }

  private findView(engine: Engine): EngineView {
    const found = this.views.get(engine.id);
    if (found !== undefined) return found;
    const view = new EngineView(engine);
    this.views.set(engine.id, view);
    return view;
  }

  private findPriority(ask: SlotAsk, engine: Engine): number {
    if (this.policy.enginePriority === 'none') return 0;
    const { nowMs } = this.dependencies.context;
    const { promptTokens } = ask.contract;
    return rankRequest({
      promptTokens,
      light: HomeRouter.isLight(ask),
      overShare: this.isOverShare(ask) && this.findView(engine).readBacklogMs(nowMs) > 0,
      slowdownWeight: this.readSlowdownWeight(),
    });
  }

  private isOverShare({ contract }: SlotAsk): boolean {
    if (this.policy.fairness === 'none') return false;
    return this.shares.isOver(contract.team, this.dependencies.context.nowMs);
  }

  private static isLight({ contract }: SlotAsk): boolean {
    return contract.promptTokens <= LIGHT_PROMPT_TOKENS;
  }

  private readSlowdownWeight(): number {
    const configuration = this.dependencies.readConfiguration();
    const preset = configuration?.presets.find(({ id }) => id === configuration.presetInForce);
    return preset?.slowdownWeight ?? DEFAULT_SLOWDOWN_WEIGHT;
  }

  private dropPending(requestId: RequestId, pending: PendingAsk): void {
    pending.timer.cancel();
    this.pending.delete(requestId);
  }

  private sendRelease(
    home: EntryVmId,
    engine: EndpointId,
    requestId: RequestId,
    rejected: boolean,
  ): void {
    this.send(home, { kind: 'slot.release', requestId, engine, rejected });
  }

  private send(peer: EntryVmId, message: RoutingMessage): void {
    if (peer === this.dependencies.context.self.id) this.acceptMessage(peer, message);
    else this.dependencies.membership.send(peer, message);
  }
}
