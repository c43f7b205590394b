import {
  resultCodes,
  type EndpointId,
  type EngineUsage,
  type Engine,
  type EntryVmId,
  type ModelContract,
  type MonotonicMs,
  type Refusal,
  type RequestId,
  type RoutingMessage,
} from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import { TeamLimits } from '../../limits/team-limits.js';
import { FleetIndex } from '../fleet-index.js';
import type {
  Router,
  RouterDependencies,
  SlotRequest,
  SlotListener,
  SlotOutcome,
} from '../types.js';
import { estimateSavedMs } from '../prefixes/prefix-savings.js';
import { PrefixTracker } from '../prefixes/prefix-tracker.js';
import type { KeptPrefix } from '../prefixes/types.js';
import type { AnswerUsage } from '../../context/types.js';
import { countMemoryTokens, estimateDecodeMs, estimatePrefillMs } from '../work-estimate.js';
import {
  ADMISSION_FRACTION,
  SLOT_REQUEST_RETRY_MS,
  INITIAL_PREFILL_RATE,
  OVER_SHARE_CREDIT_FRACTION,
  ROUND_MS,
  ROUND_PER_PEER_MS,
} from './consts.js';
import { EnginePicker } from './engine-picker.js';
import { EngineView } from './engine-view.js';
import { EngineCoordinator } from './engine-coordinator.js';
import { rankRequest } from './request-priorities.js';
import { FairShareTracker } from './fair-share-tracker.js';
import type { CoordinatedPolicy } from './types.js';

/** Shortest retry-after time of a refusal, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Requests with prompts up to this length are light: they are placed with credits and get a higher
 * priority than longer ones, which are heavy.
 */
const LIGHT_PROMPT_TOKENS = 32_768;

/** Outcomes after which the engine's process, and with it what it retained, may be lost. */
const LOST_OUTCOMES: ReadonlySet<SlotOutcome> = new Set(['broken', 'notSent']);

/** Slowdown weight while no preset is in force. */
const DEFAULT_SLOWDOWN_WEIGHT = 0.5;

/** A slot that this entry VM holds. */
interface Slot {
  readonly engine: Engine;
  /** Coordinator that granted the slot; undefined if it was placed with credits. */
  readonly coordinator: EntryVmId | undefined;
  readonly tokens: number;
  readonly prefillMs: number;
  /** What the engine was expected to retain of the prompt; undefined if that does not count. */
  readonly prefix: SlotPrefix | undefined;
  isPrefilled: boolean;
}

/** What a slot's engine was expected to retain of a prompt, and the prompt. */
interface SlotPrefix {
  readonly contract: ModelContract;
  readonly kept: KeptPrefix;
  readonly savedMs: number;
}

/** A slot request that no coordinator has granted or refused yet. */
interface PendingRequest {
  readonly request: SlotRequest;
  readonly listener: SlotListener;
  readonly requestedAtMs: MonotonicMs;
  engine: Engine;
  coordinator: EntryVmId;
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
 * Router in which each engine has one entry VM as its coordinator. The coordinator tracks the use
 * of the engine, grants heavy requests one at a time, and gives each peer credits, in milliseconds
 * of prefill work, for light requests, which the peer then places without a message.
 */
export class CoordinatedRouter implements Router {
  private readonly index: FleetIndex;

  private readonly engineCoordinator: EngineCoordinator;

  private readonly fairShares: FairShareTracker;

  private readonly limits: TeamLimits;

  private readonly picker: EnginePicker;

  private readonly prefixes: PrefixTracker;

  private readonly views = new Map<EndpointId, EngineView>();

  private readonly slots = new Map<RequestId, Slot>();

  private readonly pending = new Map<RequestId, PendingRequest>();

  private readonly handlers: MessageHandlers;

  private peers: readonly EntryVmId[] = [];

  private reachable: ReadonlySet<EntryVmId> = new Set();

  constructor(
    private readonly dependencies: RouterDependencies,
    private readonly policy: CoordinatedPolicy,
  ) {
    const { readConfiguration } = dependencies;
    this.index = new FleetIndex(readConfiguration);
    this.fairShares = new FairShareTracker((team) => this.index.findTeamWeight(team));
    this.limits = new TeamLimits((team) => this.index.findTeam(team));
    this.engineCoordinator = new EngineCoordinator({
      ...dependencies,
      index: this.index,
      policy,
      fairShares: this.fairShares,
      isLight: (promptTokens) => promptTokens <= LIGHT_PROMPT_TOKENS,
      readSlowdownWeight: () => this.readSlowdownWeight(),
      send: (peer, message) => this.send(peer, message),
    });
    this.prefixes = new PrefixTracker({ ...dependencies, index: this.index });
    this.picker = new EnginePicker({
      ...dependencies,
      prefixes: this.prefixes,
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

  requestSlot(request: SlotRequest, listener: SlotListener): void {
    const refusal = this.findRefusal(request);
    if (refusal !== undefined) {
      listener({ kind: 'refused', refusal });
      return;
    }
    if (CoordinatedRouter.isLight(request) && this.policy.grants === 'credits')
      this.placeLight(request, listener);
    else this.requestFromCoordinator(request, listener);
  }

  cancelSlotRequest(requestId: RequestId): void {
    this.limits.release(requestId);
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    this.removePending(requestId, pending);
    this.sendRelease(pending.coordinator, pending.engine.id, requestId, false);
  }

  recordFirstToken(requestId: RequestId): void {
    const slot = this.slots.get(requestId);
    if (slot === undefined || slot.isPrefilled) return;
    slot.isPrefilled = true;
    const view = this.findView(slot.engine);
    if (slot.prefix !== undefined) {
      const freeTokens = view.readFreeTokens(
        this.peers.length + 1,
        this.dependencies.context.nowMs,
      );
      this.prefixes.recordRead(slot.engine, slot.prefix.contract, freeTokens);
    }
    if (slot.coordinator === undefined) {
      view.lightBacklogMs -= slot.prefillMs;
      this.updateLocalUsage(view);
      return;
    }
    view.setHeldSlot({ requestId, tokens: slot.tokens, prefilled: true });
    this.send(slot.coordinator, { kind: 'slot.prefilled', requestId, engine: slot.engine.id });
  }

  recordUsage(requestId: RequestId, usage: AnswerUsage | undefined): void {
    const slot = this.slots.get(requestId);
    if (slot?.prefix === undefined || usage === undefined) return;
    const { contract, kept } = slot.prefix;
    this.prefixes.recordUsage(slot.engine, kept, contract.promptTokens, usage);
  }

  releaseSlot(requestId: RequestId, outcome: SlotOutcome): void {
    this.limits.release(requestId);
    const slot = this.slots.get(requestId);
    if (slot === undefined) return;
    this.slots.delete(requestId);
    if (LOST_OUTCOMES.has(outcome)) this.prefixes.dropEngine(slot.engine.id);
    const view = this.findView(slot.engine);
    const rejected = outcome === 'rejected';
    if (slot.coordinator === undefined) {
      view.lightTokens -= slot.tokens;
      if (!slot.isPrefilled) view.lightBacklogMs -= slot.prefillMs;
      this.updateLocalUsage(view);
    } else {
      view.removeHeldSlot(requestId);
      this.sendRelease(slot.coordinator, slot.engine.id, requestId, rejected);
    }
    if (rejected) view.recordMemoryFull(this.dependencies.context.nowMs);
  }

  handleMessage(peer: EntryVmId, message: RoutingMessage): void {
    const handler = this.handlers[message.kind] as (
      from: EntryVmId,
      received: RoutingMessage,
    ) => void;
    handler(peer, message);
  }

  private updateLocalUsage({ engine, lightBacklogMs, lightTokens }: EngineView): void {
    this.engineCoordinator.updateLocalUsage(engine.id, lightBacklogMs, lightTokens);
  }

  private createHandlers(): MessageHandlers {
    return {
      'slot.ask': (peer, message) => this.engineCoordinator.handleSlotRequest(peer, message),
      'slot.grant': (peer, message) => this.handleGrant(peer, message),
      'slot.refuse': (_peer, message) => this.handleRefusal(message),
      'slot.prefilled': (_peer, { engine, requestId }) =>
        this.engineCoordinator.handlePrefilled(engine, requestId),
      'slot.release': (_peer, { engine, requestId, rejected }) =>
        this.engineCoordinator.handleRelease(engine, requestId, rejected),
      'slot.round': (peer, message) => this.handleRound(peer, message),
    };
  }

  private findRefusal({ contract, failedEngines }: SlotRequest): Refusal | undefined {
    if (this.index.listEngines(contract.model).length === 0) {
      return { code: resultCodes.noEndpoint, ran: 'no', retryAfterMs: RETRY_AFTER_MS };
    }
    if (this.index.findLargestMemoryTokens(contract.model) < countMemoryTokens(contract)) {
      return { code: resultCodes.promptTooLong, ran: 'no' };
    }
    // The team limits count a request once, at its first attempt.
    if (failedEngines !== undefined && failedEngines.size > 0) return undefined;
    const retryAfterMs = this.limits.admit(contract, this.dependencies.context.nowMs);
    if (retryAfterMs > 0) return { code: resultCodes.teamLimit, ran: 'no', retryAfterMs };
    return undefined;
  }

  private placeLight(request: SlotRequest, listener: SlotListener): void {
    const { contract, deadlineMs } = request;
    const { nowMs } = this.dependencies.context;
    const tokens = countMemoryTokens(contract);
    const creditFraction = this.isOverShare(request) ? OVER_SHARE_CREDIT_FRACTION : 1;
    const engine = this.picker.pickForLight(request, this.peers.length + 1, creditFraction);
    if (engine === undefined) {
      this.requestFromCoordinator(request, listener);
      return;
    }
    const view = this.findView(engine);
    const prefix = this.findSlotPrefix(engine, contract);
    const prefillMs = estimatePrefillMs(engine, contract.promptTokens) - (prefix?.savedMs ?? 0);
    const finishMs =
      (view.readBacklogMs(nowMs) + prefillMs) / INITIAL_PREFILL_RATE +
      estimateDecodeMs(engine, contract.maxOutputTokens);
    const leftMs = deadlineMs - nowMs;
    if (this.policy.admission === 'byEstimate' && finishMs > leftMs * ADMISSION_FRACTION) {
      const retryAfterMs = Math.max(RETRY_AFTER_MS, Math.round(finishMs - leftMs));
      const code = resultCodes.overloaded;
      listener({ kind: 'refused', refusal: { code, ran: 'no', retryAfterMs } });
      return;
    }
    view.recordLightPlaced(prefillMs, tokens);
    const { requestId } = contract;
    const priority = this.findPriority(request, engine);
    this.fairShares.record(contract.team, prefillMs, nowMs);
    this.slots.set(requestId, {
      engine,
      coordinator: undefined,
      tokens,
      prefillMs,
      prefix,
      isPrefilled: false,
    });
    listener({ kind: 'granted', engine, priority });
  }

  private requestFromCoordinator(request: SlotRequest, listener: SlotListener): void {
    const engine = this.picker.pickForHeavy(request);
    if (engine === undefined) {
      const code = resultCodes.noEndpoint;
      const refusal = { code, ran: 'no', retryAfterMs: RETRY_AFTER_MS } as const;
      listener({ kind: 'refused', refusal });
      return;
    }
    const { requestId } = request.contract;
    const pending: PendingRequest = {
      request,
      listener,
      requestedAtMs: this.dependencies.context.nowMs,
      engine,
      coordinator: this.findCoordinator(engine),
      timer: this.scheduleRetry(requestId),
    };
    this.pending.set(requestId, pending);
    this.sendSlotRequest(pending);
  }

  private scheduleRetry(requestId: RequestId): Timer {
    return this.dependencies.context.schedule(SLOT_REQUEST_RETRY_MS, () =>
      this.retryRequest(requestId),
    );
  }

  /**
   * Sends a slot request again: the first message may be lost, the coordinator may have changed, or
   * another engine may be less busy.
   */
  private retryRequest(requestId: RequestId): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    pending.timer = this.scheduleRetry(requestId);
    const engine = this.picker.pickForRetry(pending.request, pending.engine);
    const coordinator = this.findCoordinator(engine);
    if (engine !== pending.engine || coordinator !== pending.coordinator) {
      this.sendRelease(pending.coordinator, pending.engine.id, requestId, false);
      pending.engine = engine;
      pending.coordinator = coordinator;
    }
    this.sendSlotRequest(pending);
  }

  private sendSlotRequest({ request, engine, coordinator, requestedAtMs }: PendingRequest): void {
    const { nowMs } = this.dependencies.context;
    const { requestId, team, promptTokens, maxOutputTokens } = request.contract;
    const { lightBacklogMs, lightTokens } = this.findView(engine);
    const prefix = this.findSlotPrefix(engine, request.contract);
    this.send(coordinator, {
      kind: 'slot.ask',
      requestId,
      engine: engine.id,
      team,
      promptTokens,
      outputTokens: maxOutputTokens,
      waitedMs: Math.round(nowMs - requestedAtMs),
      leftMs: Math.round(request.deadlineMs - nowMs),
      lightBacklogMs: Math.round(lightBacklogMs),
      lightTokens,
      ...(prefix === undefined ? {} : { savedMs: Math.round(prefix.savedMs) }),
    });
  }

  /** Finds what an engine is expected to retain of a prompt; undefined if that does not count. */
  private findSlotPrefix(engine: Engine, contract: ModelContract): SlotPrefix | undefined {
    if (!this.prefixes.isTracked(contract)) return undefined;
    const owner = this.picker.findPrefixOwner(contract);
    const kept = this.prefixes.findKept(engine, contract, owner);
    return { contract, kept, savedMs: estimateSavedMs({ engine, ...kept }, contract.promptTokens) };
  }

  private handleGrant(peer: EntryVmId, { requestId, engine }: MessageOf<'slot.grant'>): void {
    const pending = this.pending.get(requestId);
    if (pending?.engine.id !== engine) {
      // A repeated grant, or one for a request that was cancelled or moved to another engine.
      const isHeld = this.slots.get(requestId)?.engine.id === engine;
      if (!isHeld) this.sendRelease(peer, engine, requestId, false);
      return;
    }
    this.removePending(requestId, pending);
    const { request, listener } = pending;
    const { contract } = request;
    const tokens = countMemoryTokens(contract);
    const prefix = this.findSlotPrefix(pending.engine, contract);
    const slot = {
      engine: pending.engine,
      coordinator: peer,
      tokens,
      prefillMs: estimatePrefillMs(pending.engine, contract.promptTokens) - (prefix?.savedMs ?? 0),
      prefix,
      isPrefilled: false,
    };
    this.slots.set(requestId, slot);
    this.findView(pending.engine).setHeldSlot({ requestId, tokens, prefilled: false });
    const priority = this.findPriority(request, pending.engine);
    listener({ kind: 'granted', engine: pending.engine, priority });
  }

  private handleRefusal({ requestId, engine, retryAfterMs }: MessageOf<'slot.refuse'>): void {
    const pending = this.pending.get(requestId);
    if (pending?.engine.id !== engine) return;
    this.removePending(requestId, pending);
    const code = resultCodes.overloaded;
    pending.listener({ kind: 'refused', refusal: { code, ran: 'no', retryAfterMs } });
  }

  private handleRound(
    peer: EntryVmId,
    { summaries, usages, demands }: MessageOf<'slot.round'>,
  ): void {
    const { self, nowMs } = this.dependencies.context;
    if (peer !== self.id) this.limits.handleDemands(peer, demands, nowMs);
    summaries.forEach((summary) => {
      const engine = this.index.findEngine(summary.engine);
      if (engine !== undefined) this.findView(engine).handleSummary(summary, nowMs);
    });
    this.engineCoordinator.handleUsageReports(peer, usages);
  }

  private runRound(): void {
    this.updatePeers();
    const roundMs = ROUND_MS + ROUND_PER_PEER_MS * this.peers.length;
    this.engineCoordinator.sweep();
    this.prefixes.sweep();
    const usages = this.takeUsagesByCoordinator();
    const { self, nowMs } = this.dependencies.context;
    const demands = this.limits.takeDemands(nowMs);
    [self.id, ...this.peers].forEach((peer) => {
      const summaries = this.engineCoordinator.listSummaries(peer, this.peers.length + 1, roundMs);
      const reported = usages.get(peer) ?? [];
      if (summaries.length + reported.length + demands.length === 0) return;
      this.send(peer, { kind: 'slot.round', summaries, usages: reported, demands });
    });
    this.dependencies.context.schedule(roundMs, () => this.runRound());
  }

  /** Updates the peers: the live entry VMs of this failure domain to which a link is open. */
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
    const localCount = members.filter(({ vm }) => vm.failureDomain === self.failureDomain).length;
    this.limits.setEntryVmCounts({ total: members.length + 1, local: localCount + 1 });
  }

  private takeUsagesByCoordinator(): Map<EntryVmId, EngineUsage[]> {
    const byCoordinator = new Map<EntryVmId, EngineUsage[]>();
    this.views.forEach((view) => {
      const usage = view.takeUsage();
      if (usage === undefined) return;
      const coordinator = this.findCoordinator(view.engine);
      byCoordinator.set(coordinator, [...(byCoordinator.get(coordinator) ?? []), usage]);
    });
    return byCoordinator;
  }

  /** Returns the coordinator of an engine, or this entry VM if the coordinator is unreachable. */
  private findCoordinator(engine: Engine): EntryVmId {
    const coordinator = this.dependencies.membership.findCoordinator(engine);
    return coordinator !== undefined && this.reachable.has(coordinator)
      ? coordinator
      : this.dependencies.context.self.id;
  }

  private findView(engine: Engine): EngineView {
    const existing = this.views.get(engine.id);
    if (existing !== undefined) return existing;
    const view = new EngineView(engine);
    this.views.set(engine.id, view);
    return view;
  }

  private findPriority(request: SlotRequest, engine: Engine): number {
    if (this.policy.enginePriority === 'none') return 0;
    const { nowMs } = this.dependencies.context;
    const { promptTokens } = request.contract;
    return rankRequest({
      promptTokens,
      isLight: CoordinatedRouter.isLight(request),
      isOverShare: this.isOverShare(request) && this.findView(engine).readBacklogMs(nowMs) > 0,
      slowdownWeight: this.readSlowdownWeight(),
    });
  }

  private isOverShare({ contract }: SlotRequest): boolean {
    if (this.policy.fairness === 'none') return false;
    return this.fairShares.isOverShare(contract.team, this.dependencies.context.nowMs);
  }

  private static isLight({ contract }: SlotRequest): boolean {
    return contract.promptTokens <= LIGHT_PROMPT_TOKENS;
  }

  private readSlowdownWeight(): number {
    const configuration = this.dependencies.readConfiguration();
    const preset = configuration?.presets.find(({ id }) => id === configuration.presetInForce);
    return preset?.slowdownWeight ?? DEFAULT_SLOWDOWN_WEIGHT;
  }

  private removePending(requestId: RequestId, pending: PendingRequest): void {
    pending.timer.cancel();
    this.pending.delete(requestId);
  }

  private sendRelease(
    coordinator: EntryVmId,
    engine: EndpointId,
    requestId: RequestId,
    rejected: boolean,
  ): void {
    this.send(coordinator, { kind: 'slot.release', requestId, engine, rejected });
  }

  private send(peer: EntryVmId, message: RoutingMessage): void {
    if (peer === this.dependencies.context.self.id) this.handleMessage(peer, message);
    else this.dependencies.membership.send(peer, message);
  }
}
