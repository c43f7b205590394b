import type { NodeEffect } from '@savorywind/decisions';
import type { EffectHandlers } from '@savorywind/entry';
import {
  CONFIGURATION_HEAD_KEY,
  Err,
  Ok,
  tables,
  type Configuration,
  type EntryVm,
  type PlatformCall,
  type PlatformReply,
} from '@savorywind/model';
import { TableStore } from '@savorywind/stand-ins';
import { RandomSource } from '../workload/random-source.js';
import type { PlannedRequest } from '../workload/types.js';
import { Workload } from '../workload/workload.js';
import { FleetAttempts } from './fleet-attempts.js';
import { createFleetConfiguration, listEntryVms } from './fleet-configuration.js';
import { FleetEngine } from './fleet-engine.js';
import { FleetNetwork } from './fleet-network.js';
import { FleetNode } from './fleet-node.js';
import type { Fault, FleetReport, FleetSettings, NodeCost, RequestResult } from './types.js';

type EffectOf<Kind extends NodeEffect['kind']> = Extract<NodeEffect, { readonly kind: Kind }>;

const MS_PER_S = 1_000;

const NS_PER_MS = 1_000_000;

/** Time for entry VMs to become ready before the first request, in milliseconds. */
const START_MS = 5_000;

/** Longest time after the last arrival until every request has its answer. */
const END_MS = 620_000;

const PLATFORM_MS = 3;

type FaultHandlers = {
  readonly [Kind in Fault['kind']]: (fault: Extract<Fault, { readonly kind: Kind }>) => void;
};

/** What an entry VM has spent since it started. */
interface Spent {
  readonly totalNs: number;
  readonly linkBytes: number;
  readonly engineCalls: number;
}

const NOTHING_SPENT: Spent = { totalNs: 0, linkBytes: 0, engineCalls: 0 };

/**
 * A fleet on a paused clock: the product's decisions on every entry VM, engine models, and delays
 * between them. Tokens between the first and the last of an answer are not carried one by one.
 */
export class Fleet {
  private readonly random: RandomSource;

  private readonly network: FleetNetwork;

  private readonly configuration: Configuration;

  private readonly engines = new Map<string, FleetEngine>();

  private readonly nodes = new Map<string, FleetNode>();

  private readonly store = new TableStore();

  private readonly attempts: FleetAttempts;

  private readonly results = new Map<string, RequestResult>();

  private readonly entryVms: readonly EntryVm[];

  private unanswered = 0;

  constructor(private readonly settings: FleetSettings) {
    const { deployment, seed } = settings.workload;
    this.random = new RandomSource(seed + 1_000_003);
    this.network = new FleetNetwork(settings.linkDelayMs, this.random);
    this.configuration = createFleetConfiguration(deployment, settings.slowdownWeight);
    this.entryVms = listEntryVms(deployment);
    this.attempts = new FleetAttempts(
      this.network,
      this.engines,
      (requestId) => this.results.get(requestId)?.planned,
    );
    this.addEngines();
    this.writeHead();
  }

  /** Runs the workload to its end. `advance` lets time pass on the paused clock. */
  run(advance: (ms: number) => void): FleetReport {
    const { durationMs } = this.settings.workload;
    this.startNodes();
    advance(START_MS);
    const startMs = performance.now();
    const before = this.readSpent();
    this.settings.faults.forEach((fault) => this.scheduleFault(fault));
    this.planArrivals(new Workload(this.settings.workload).listRequests(), startMs);
    advance(durationMs);
    const after = this.readSpent();
    for (let waitedMs = 0; waitedMs < END_MS && this.unanswered > 0; waitedMs += MS_PER_S) {
      advance(MS_PER_S);
    }
    const nodes = [...this.nodes.values()].map((node, index) =>
      Fleet.measureCost(node, before[index], after[index], durationMs),
    );
    this.nodes.forEach((node) => node.stop());
    return { results: [...this.results.values()], nodes, durationMs };
  }

  listBytesByKind(): ReadonlyMap<string, number> {
    return this.network.listBytesByKind();
  }

  private addEngines(): void {
    const { engine } = this.settings.workload.deployment;
    const stale = this.settings.faults.find(({ kind }) => kind === 'staleLoad');
    const lag = stale?.kind === 'staleLoad' ? { loadLagMs: stale.lagMs } : {};
    this.configuration.endpoints.forEach((endpoint) => {
      if (endpoint.kind !== 'engine') return;
      this.engines.set(endpoint.id, new FleetEngine(endpoint, { ...engine, ...lag }));
    });
  }

  private writeHead(): void {
    const { configuration } = this;
    const value = { version: 1, changeId: 'c1', author: 'bench', committedAtMs: 0, configuration };
    this.store.apply([
      { kind: 'insert', table: tables.configuration, key: CONFIGURATION_HEAD_KEY, value },
    ]);
  }

  private startNodes(): void {
    this.entryVms.forEach((vm, index) => {
      const seed = this.settings.workload.seed * MS_PER_S + index;
      const node = new FleetNode(vm, seed, this.settings.router, (own) => this.createHandlers(own));
      this.nodes.set(vm.id, node);
    });
    this.nodes.forEach((node) => node.dispatch({ kind: 'started' }));
  }

  /** One timer at a time for the arrivals, in the order of their planned times. */
  private planArrivals(requests: readonly PlannedRequest[], startMs: number): void {
    let next = 0;
    const arriveDue = (): void => {
      for (;;) {
        const planned = requests[next];
        if (planned === undefined) return;
        const waitMs = startMs + planned.atMs - performance.now();
        if (waitMs >= 1) {
          setTimeout(arriveDue, Math.floor(waitMs));
          return;
        }
        next += 1;
        this.arrive(planned, startMs);
      }
    };
    arriveDue();
  }

  private arrive(planned: PlannedRequest, startMs: number): void {
    const vm = this.entryVms[planned.entryVm];
    const node = vm === undefined ? undefined : this.nodes.get(vm.id);
    const result: RequestResult = {
      planned: { ...planned, atMs: startMs + planned.atMs },
      firstTokenMs: undefined,
      endMs: undefined,
      refused: undefined,
      retryAfterMs: undefined,
      late: false,
    };
    this.results.set(planned.contract.requestId, result);
    this.unanswered += 1;
    node?.dispatch({ kind: 'request.arrived', contract: planned.contract });
  }

  private finish(requestId: string, change: (result: RequestResult) => void): void {
    const result = this.results.get(requestId);
    if (result === undefined || result.endMs !== undefined) return;
    change(result);
    result.endMs = performance.now();
    this.unanswered -= 1;
  }

  private createHandlers(node: FleetNode): EffectHandlers {
    return {
      'attempt.start': (start) => this.attempts.start(node, start),
      'attempt.cancel': ({ attemptId }) => this.attempts.cancel(attemptId),
      'caller.sendHead': () => {},
      'caller.sendChunk': ({ requestId }) => {
        const result = this.results.get(requestId);
        if (result !== undefined) result.firstTokenMs ??= performance.now();
      },
      'caller.finish': ({ requestId }) => this.finish(requestId, () => {}),
      'caller.refuse': ({ requestId, refusal }) =>
        this.finish(requestId, (result) => {
          result.refused = refusal.code.name;
          result.retryAfterMs = refusal.retryAfterMs;
          result.late = refusal.ran !== 'no' || refusal.code.name === 'timeout';
        }),
      'link.open': ({ vm }) => this.openLink(node, vm),
      'link.close': () => {},
      'link.send': ({ peer, message }) => this.sendMessage(node, peer, message),
      'platform.call': ({ callId, call }) => this.callPlatform(node, callId, call),
      'engine.call': (effect) => this.callEngine(node, effect),
      'configuration.adopted': () => {},
      readiness: ({ state }) => {
        node.isReady = state === 'ready';
      },
      'operator.reply': () => {},
      'operator.history': () => {},
      'operator.version': () => {},
      log: () => {},
    };
  }

  private openLink(node: FleetNode, vm: EntryVm): void {
    const peer = this.nodes.get(vm.id);
    if (peer === undefined || vm.id === node.vm.id) return;
    setTimeout(() => {
      if (!this.network.isReachable(node.vm.failureDomain, vm.failureDomain)) return;
      node.dispatch({ kind: 'link.opened', peer: vm.id });
      peer.dispatch({ kind: 'link.opened', peer: node.vm.id });
    }, this.network.delayMs);
  }

  private sendMessage(
    node: FleetNode,
    to: string,
    message: EffectOf<'link.send'>['message'],
  ): void {
    const peer = this.nodes.get(to);
    if (peer === undefined || !this.network.isDelivered(node.vm.id, to, message)) return;
    if (!this.network.isReachable(node.vm.failureDomain, peer.vm.failureDomain)) return;
    setTimeout(
      () => peer.dispatch({ kind: 'link.received', peer: node.vm.id, message }),
      this.network.delayMs,
    );
  }

  private callPlatform(node: FleetNode, callId: number, call: PlatformCall): void {
    setTimeout(() => {
      const reachable = this.network.isPlatformReachable(node.vm.failureDomain);
      const reply = reachable ? Ok(this.answerPlatform(call)) : Err('unsent' as const);
      node.dispatch({ kind: 'platform.replied', callId, reply });
    }, PLATFORM_MS);
  }

  private answerPlatform(call: PlatformCall): PlatformReply {
    if (call.kind === 'tables') {
      return { kind: 'tables', outcomes: this.store.apply(call.operations) };
    }
    const entries = this.entryVms.map((vm) => ({ vm, state: 'live' as const }));
    return { kind: 'membership', entries };
  }

  private callEngine(node: FleetNode, { callId, engine, call }: EffectOf<'engine.call'>): void {
    node.engineCalls += 1;
    const target = this.engines.get(engine.id);
    const reachable = this.network.isReachable(node.vm.failureDomain, engine.failureDomain);
    setTimeout(() => {
      if (target === undefined || !target.isAlive || !reachable) {
        node.dispatch({ kind: 'engine.replied', callId, reply: Err('unsent') });
        return;
      }
      const load = { kind: 'load', load: target.model.readLoad() } as const;
      const reply = call.kind === 'load.read' ? Ok(load) : Err('refused' as const);
      node.dispatch({ kind: 'engine.replied', callId, reply });
    }, 2 * this.network.delayMs);
  }

  private scheduleFault(fault: Fault): void {
    const handlers: FaultHandlers = {
      enginesDie: ({ share, atMs }) => {
        setTimeout(() => this.killEngines(share), atMs);
      },
      domainCut: ({ domain, atMs }) => {
        setTimeout(() => this.cutDomain(domain), atMs);
      },
      staleLoad: () => {},
      linkLoss: ({ share }) => {
        this.network.lossShare = share;
      },
    };
    const handler = handlers[fault.kind] as (given: Fault) => void;
    handler(fault);
  }

  private killEngines(share: number): void {
    const engines = [...this.engines.values()];
    const every = Math.round(1 / share);
    engines.filter((_engine, index) => index % every === 0).forEach((engine) => engine.kill());
  }

  private cutDomain(domain: string): void {
    this.network.cutOff(domain);
    this.nodes.forEach((node) =>
      this.nodes.forEach((peer) => {
        if (this.network.isReachable(node.vm.failureDomain, peer.vm.failureDomain)) return;
        node.dispatch({ kind: 'link.closed', peer: peer.vm.id });
      }),
    );
  }

  private readSpent(): Spent[] {
    return [...this.nodes.values()].map(({ vm, node, engineCalls }) => ({
      totalNs: node.totalNs,
      linkBytes: this.network.readBytes(vm.id),
      engineCalls,
    }));
  }

  /** What was spent while requests came in, without the start and the end of the run. */
  private static measureCost(
    { node: { decisions } }: FleetNode,
    before: Spent = NOTHING_SPENT,
    after: Spent = NOTHING_SPENT,
    durationMs = 1,
  ): NodeCost {
    const elapsedS = durationMs / MS_PER_S;
    return {
      decisionP50Us: decisions.getValueAtPercentile(50),
      decisionP99Us: decisions.getValueAtPercentile(99),
      coreShare: (after.totalNs - before.totalNs) / NS_PER_MS / durationMs,
      linkBytesPerS: (after.linkBytes - before.linkBytes) / elapsedS,
      engineCallsPerS: (after.engineCalls - before.engineCalls) / elapsedS,
    };
  }
}
