import {
  logEvents,
  resultCodes,
  type ConfigurationHead,
  type EntryVm,
  type EntryVmId,
  type LinkMessage,
  type LinkMessageTopic,
  type MonotonicMs,
  type RequestContract,
  type ResultCode,
} from '@savorywind/model';
import { NodeConfiguration } from '../configuration/node-configuration.js';
import { ClaimLedger } from '../ledger/claim-ledger.js';
import { DEFAULT_ROUTER, routers, type RouterName } from '../routing/routers.js';
import type { Router } from '../routing/types.js';
import { NodeOrders } from '../orders/node-orders.js';
import { EntryMembership } from '../membership/entry-membership.js';
import type { MembershipView } from '../membership/types.js';
import { RequestLifecycle } from '../requests/request-lifecycle.js';
import { OrphanSweeper } from '../recovery/orphan-sweeper.js';
import { NodeContext } from '../context/node-context.js';
import type { NodeEffect, NodeEvent, NodeStatus, Readiness } from '../context/types.js';

export interface EntryNodeOptions {
  readonly vm: EntryVm;
  /** Seed of the random number generator. */
  readonly seed: number;
  /** Placement policy; `DEFAULT_ROUTER` if absent. */
  readonly router?: RouterName;
}

type EventHandlers = {
  readonly [Kind in NodeEvent['kind']]: (
    event: Extract<NodeEvent, { readonly kind: Kind }>,
  ) => void;
};

type MessageHandlers = {
  readonly [Topic in LinkMessageTopic]: (
    peer: EntryVmId,
    message: Extract<LinkMessage, { readonly kind: `${Topic}.${string}` }>,
  ) => void;
};

/** Result codes for requests that arrive while this entry VM takes none. */
const REFUSAL_CODES: Readonly<Record<Readiness, ResultCode>> = {
  starting: resultCodes.notReady,
  ready: resultCodes.notReady,
  leaving: resultCodes.draining,
  drained: resultCodes.draining,
};

/** Retry delay suggested to callers while this entry VM takes no requests, in milliseconds. */
const NOT_READY_RETRY_MS = 1_000;

/**
 * All decision logic of one entry VM as a state machine: it takes events and returns effects. It has
 * no sockets and reads no clock, so that the same code runs in the program, in tests and in
 * simulations.
 *
 * @example
 * const node = new EntryNode({ vm, seed: 1 });
 * const effects = node.handle({ kind: 'started' }, performance.now());
 * // carry out the effects, and call handle({ kind: 'woken' }, nowMs) at node.nextWakeMs()
 */
export class EntryNode {
  private readonly context: NodeContext;

  private readonly configuration: NodeConfiguration;

  private readonly requests: RequestLifecycle;

  private readonly membership: EntryMembership;

  private readonly router: Router;

  private readonly orders: NodeOrders;

  private readonly sweeper: OrphanSweeper;

  private readonly messageHandlers: MessageHandlers;

  private readiness: Readiness = 'starting';

  private readonly handlers: EventHandlers;

  constructor(options: EntryNodeOptions) {
    this.context = new NodeContext(options.vm, options.seed);
    const readConfiguration = () => this.configuration.configuration;
    this.membership = new EntryMembership({
      context: this.context,
      readConfiguration,
      readConfigurationVersion: () => this.configuration.version,
    });
    this.configuration = new NodeConfiguration({
      context: this.context,
      membership: this.membership,
      onSynced: () => this.setReady(),
      onIdle: () => this.finishDrain(),
    });
    this.router = routers[options.router ?? DEFAULT_ROUTER]({
      context: this.context,
      membership: this.membership,
      readConfiguration,
    });
    this.requests = new RequestLifecycle({
      context: this.context,
      router: this.router,
      ledger: new ClaimLedger(this.context, this.membership, () => this.finishDrain()),
      membership: this.membership,
      readConfiguration,
      onIdle: () => this.finishDrain(),
    });
    this.sweeper = new OrphanSweeper({
      context: this.context,
      membership: this.membership,
      readConfiguration,
    });
    this.orders = new NodeOrders({
      context: this.context,
      membership: this.membership,
      readConfiguration,
    });
    this.handlers = this.createHandlers();
    this.messageHandlers = this.createMessageHandlers();
  }

  /**
   * Handles one event.
   *
   * @param nowMs monotonic time; never lower than in the previous call
   * @returns effects, in the order in which the driver has to carry them out
   */
  handle(event: NodeEvent, nowMs: MonotonicMs): NodeEffect[] {
    this.context.nowMs = nowMs;
    const handler = this.handlers[event.kind] as (event: NodeEvent) => void;
    handler(event);
    this.context.runDueTimers();
    return this.context.takeEffects();
  }

  /** Latest time for the next `woken` event; undefined if no timer is scheduled. */
  nextWakeMs(): MonotonicMs | undefined {
    return this.context.nextWakeMs();
  }

  /** Configuration version in force on this entry VM, with its document. */
  readHead(): ConfigurationHead | undefined {
    return this.configuration.head;
  }

  readStatus(): NodeStatus {
    return {
      vm: this.context.self,
      readiness: this.readiness,
      configurationVersion: this.configuration.version,
      configurationAgeMs: this.configuration.ageMs,
      configurationVersions: this.configuration.listVersions(),
      orderLease: this.orders.view,
      requests: this.requests.listViews(),
    };
  }

  /** Membership as seen by this entry VM. */
  readMembership(): MembershipView {
    return { live: this.membership.listLive(), members: this.membership.listMembers() };
  }

  private createHandlers(): EventHandlers {
    const { context, requests } = this;
    return {
      started: () => this.start(),
      woken: () => {},
      drainRequested: () => this.startDrain(),
      'request.arrived': ({ contract }) => this.handleRequest(contract),
      'request.abandoned': ({ requestId }) => requests.abandon(requestId),
      'attempt.headReceived': (event) => requests.handleHead(event),
      'attempt.chunkReceived': (event) => requests.handleChunk(event),
      'attempt.ended': (event) => requests.handleEnd(event),
      'attempt.failed': (event) => requests.handleFailure(event),
      'operator.change': (request) =>
        this.configuration.handleChangeRequest(request, this.isLeaving()),
      'operator.readHistory': ({ askId, limit }) =>
        this.configuration.handleHistoryRequest(askId, limit),
      'operator.readVersion': ({ askId, version }) =>
        this.configuration.handleVersionRequest(askId, version),
      'link.opened': ({ peer }) => this.handleLinkOpened(peer),
      'link.closed': ({ peer }) => this.membership.handleLinkClosed(peer),
      'link.received': ({ peer, message }) => this.handleMessage(peer, message),
      'platform.replied': ({ callId, reply }) => context.handlePlatformReply(callId, reply),
      'engine.replied': ({ callId, reply }) => context.handleEngineReply(callId, reply),
    };
  }

  private createMessageHandlers(): MessageHandlers {
    return {
      configuration: (peer, message) => this.configuration.handleMessage(peer, message),
      membership: (peer, message) => this.membership.handleMessage(peer, message),
      request: () => {},
      slot: (peer, message) => this.router.handleMessage(peer, message),
    };
  }

  private start(): void {
    this.configuration.start();
    this.membership.start();
    this.router.start();
    this.sweeper.start();
    this.orders.start();
  }

  private handleLinkOpened(peer: EntryVmId): void {
    this.membership.handleLinkOpened(peer);
    this.configuration.handleLinkOpened(peer);
  }

  private handleMessage(peer: EntryVmId, message: LinkMessage): void {
    this.membership.recordMessage(peer);
    const topic = message.kind.slice(0, message.kind.indexOf('.')) as LinkMessageTopic;
    const handler = this.messageHandlers[topic] as
      ((from: EntryVmId, received: LinkMessage) => void) | undefined;
    handler?.(peer, message);
  }

  private handleRequest(contract: RequestContract): void {
    if (this.readiness === 'ready') {
      this.requests.admit(contract);
      return;
    }
    const refusal = {
      code: REFUSAL_CODES[this.readiness],
      ran: 'no',
      retryAfterMs: NOT_READY_RETRY_MS,
    } as const;
    this.context.emit({ kind: 'caller.refuse', requestId: contract.requestId, refusal });
  }

  private setReady(): void {
    if (this.readiness !== 'starting') return;
    this.setReadiness('ready');
    this.context.log(logEvents.processReady, { version: this.configuration.version });
  }

  private isLeaving(): boolean {
    return this.readiness === 'leaving' || this.readiness === 'drained';
  }

  private startDrain(): void {
    if (this.isLeaving()) return;
    this.setReadiness('leaving');
    this.membership.startLeaving();
    this.context.log(logEvents.drainStarted, { inFlight: this.requests.inFlight });
    this.requests.startDrain();
    this.orders.startDrain();
    this.finishDrain();
  }

  /** Reports `drained` once no request and no configuration change is in progress. */
  private finishDrain(): void {
    if (this.readiness !== 'leaving' || !this.requests.isIdle) return;
    if (this.configuration.changesInProgress > 0) return;
    this.setReadiness('drained');
  }

  private setReadiness(state: Readiness): void {
    this.readiness = state;
    this.context.emit({ kind: 'readiness', state });
  }
}
