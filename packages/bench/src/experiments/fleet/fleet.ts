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
import { AttemptSimulator } from './attempt-simulator.js';
import { createFleetConfiguration, listEntryVms } from './fleet-configuration.js';
import { FleetEngine } from './fleet-engine.js';
import { FleetNetwork } from './fleet-network.js';
import { FleetNode } from './fleet-node.js';
import type { Fault, FleetReport, FleetSettings, NodeUsage, RequestResult } from './types.js';

type EffectOf<Kind extends NodeEffect['kind']> = Extract<NodeEffect, { readonly kind: Kind }>;

const MS_PER_S = 1_000;

const NS_PER_MS = 1_000_000;

/** Time for entry VMs to become ready before the first request, in milliseconds. */
const STARTUP_MS = 5_000;

/** Longest time simulated after the arrivals; exceeds the longest request timeout (600 s). */
const MAX_COMPLETION_MS = 620_000;

/** Round-trip time of a platform call. */
const PLATFORM_DELAY_MS = 3;

type FaultHandlers = {
  readonly [Kind in Fault['kind']]: (fault: Extract<Fault, { readonly kind: Kind }>) => void;
};

/** Resources that an entry VM has used since its start. */
interface UsageCounters {
  readonly totalNs: number;
  readonly linkBytes: number;
  readonly engineCalls: number;
}

const NO_USAGE: UsageCounters = { totalNs: 0, linkBytes: 0, engineCalls: 0 };

/**
 * Simulates a fleet on a fake clock: the state machines of all entry VMs, the engines, and the
 * network between them. Tokens after the first are delivered together at the end of the response.
 */
export class Fleet {
  private readonly random: RandomSource;

  private readonly network: FleetNetwork;

  private readonly configuration: Configuration;

  private readonly engines = new Map<string, FleetEngine>();

  private readonly nodes = new Map<string, FleetNode>();

  private readonly store = new TableStore();

  private readonly attempts: AttemptSimulator;

  private readonly results = new Map<string, RequestResult>();

  private readonly entryVms: readonly EntryVm[];

  /** Number of requests without a final response. */
  private pendingCount = 0;

  constructor(private readonly settings: FleetSettings) {
    const { deployment, seed } = settings.workload;
    this.random = new RandomSource(seed + 1_000_003);
    this.network = new FleetNetwork(settings.linkDelayMs, this.random);
    this.configuration = createFleetConfiguration(
      deployment,
      settings.slowdownWeight,
      settings.prefixRetention,
    );
    this.entryVms = listEntryVms(deployment);
    this.attempts = new AttemptSimulator(
      this.network,
      this.engines,
      (requestId) => this.results.get(requestId)?.planned,
    );
    this.addEngines();
    this.writeHead();
  }

  /** Runs the workload to completion. `advance` moves the fake clock forward. */
  run(advance: (ms: number) => void): FleetReport {
    const { durationMs } = this.settings.workload;
    this.startNodes();
    advance(STARTUP_MS);
    const startMs = performance.now();
    const before = this.readUsageCounters();
    this.settings.faults.forEach((fault) => this.scheduleFault(fault));
    const requests = this.settings.requests ?? new Workload(this.settings.workload).listRequests();
    this.scheduleArrivals(requests, startMs);
    advance(durationMs);
    const after = this.readUsageCounters();
    for (
      let waitedMs = 0;
      waitedMs < MAX_COMPLETION_MS && this.pendingCount > 0;
      waitedMs += MS_PER_S
    ) {
      advance(MS_PER_S);
    }
    const nodes = [...this.nodes.values()].map((node, index) =>
      Fleet.measureUsage(node, before[index], after[index], durationMs),
    );
    this.nodes.forEach((node) => node.stop());
    let evictedBlocks = 0;
    this.engines.forEach(({ simulator }) => {
      evictedBlocks += simulator.evictedBlocks;
    });
    return { results: [...this.results.values()], nodes, evictedBlocks, durationMs };
  }

  /** Bytes sent on all links, by message kind. */
  listBytesByKind(): ReadonlyMap<string, number> {
    return this.network.listBytesByKind();
  }

  private addEngines(): void {
    const { engine } = this.settings.workload.deployment;
    const staleLoad = this.settings.faults.find(({ kind }) => kind === 'staleLoad');
    const overrides = staleLoad?.kind === 'staleLoad' ? { loadLagMs: staleLoad.lagMs } : {};
    this.configuration.endpoints.forEach((endpoint) => {
      if (endpoint.kind !== 'engine') return;
      this.engines.set(endpoint.id, new FleetEngine(endpoint, { ...engine, ...overrides }));
    });
  }

  /** Stores the configuration as committed, so that the entry VMs read it when they start. */
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
      const node = new FleetNode(vm, seed, this.settings.router, (fleetNode) =>
        this.createHandlers(fleetNode),
      );
      this.nodes.set(vm.id, node);
    });
    this.nodes.forEach((node) => node.dispatch({ kind: 'started' }));
  }

  /** Dispatches requests at their planned times, with one timer at a time. */
  private scheduleArrivals(requests: readonly PlannedRequest[], startMs: number): void {
    let nextIndex = 0;
    const dispatchDue = (): void => {
      for (;;) {
        const planned = requests[nextIndex];
        if (planned === undefined) return;
        const waitMs = startMs + planned.arrivalMs - performance.now();
        if (waitMs >= 1) {
          setTimeout(dispatchDue, Math.floor(waitMs));
          return;
        }
        nextIndex += 1;
        this.dispatchRequest(planned, startMs);
      }
    };
    dispatchDue();
  }

  private dispatchRequest(planned: PlannedRequest, startMs: number): void {
    const vm = this.entryVms[planned.entryVmIndex];
    const node = vm === undefined ? undefined : this.nodes.get(vm.id);
    const result: RequestResult = {
      planned: { ...planned, arrivalMs: startMs + planned.arrivalMs },
      firstTokenMs: undefined,
      endMs: undefined,
      refused: undefined,
      retryAfterMs: undefined,
      failedAfterAdmission: false,
      endpoint: undefined,
      cachedTokens: undefined,
    };
    this.results.set(planned.contract.requestId, result);
    this.pendingCount += 1;
    node?.dispatch({ kind: 'request.arrived', contract: planned.contract });
  }

  /** Records the end of a request once; `update` may add to its result. */
  private finishRequest(requestId: string, update: (result: RequestResult) => void): void {
    const result = this.results.get(requestId);
    if (result === undefined || result.endMs !== undefined) return;
    update(result);
    result.endMs = performance.now();
    this.pendingCount -= 1;
  }

  private createHandlers(node: FleetNode): EffectHandlers {
    return {
      'attempt.start': (start) => {
        const result = this.results.get(start.requestId);
        if (result !== undefined) result.endpoint = start.endpoint.id;
        this.attempts.start(node, start);
      },
      'attempt.cancel': ({ attemptId }) => this.attempts.cancel(attemptId),
      'caller.sendHead': () => {},
      'caller.sendChunk': ({ requestId }) => {
        const result = this.results.get(requestId);
        if (result !== undefined) result.firstTokenMs ??= performance.now();
      },
      'caller.finish': ({ requestId, usage }) =>
        this.finishRequest(requestId, (result) => {
          result.cachedTokens = usage?.cachedTokens;
        }),
      'caller.refuse': ({ requestId, refusal }) =>
        this.finishRequest(requestId, (result) => {
          result.refused = refusal.code.name;
          result.retryAfterMs = refusal.retryAfterMs;
          result.failedAfterAdmission = refusal.ran !== 'no' || refusal.code.name === 'timeout';
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
    peerId: string,
    message: EffectOf<'link.send'>['message'],
  ): void {
    const peer = this.nodes.get(peerId);
    if (peer === undefined || !this.network.decideDelivery(node.vm.id, peerId, message)) return;
    if (!this.network.isReachable(node.vm.failureDomain, peer.vm.failureDomain)) return;
    setTimeout(
      () => peer.dispatch({ kind: 'link.received', peer: node.vm.id, message }),
      this.network.delayMs,
    );
  }

  private callPlatform(node: FleetNode, callId: number, call: PlatformCall): void {
    setTimeout(() => {
      const isReachable = this.network.isPlatformReachable(node.vm.failureDomain);
      const reply = isReachable ? Ok(this.buildPlatformReply(call)) : Err('unsent' as const);
      node.dispatch({ kind: 'platform.replied', callId, reply });
    }, PLATFORM_DELAY_MS);
  }

  private buildPlatformReply(call: PlatformCall): PlatformReply {
    if (call.kind === 'tables') {
      return { kind: 'tables', outcomes: this.store.apply(call.operations) };
    }
    const entries = this.entryVms.map((vm) => ({ vm, state: 'live' as const }));
    return { kind: 'membership', entries };
  }

  private callEngine(node: FleetNode, { callId, engine, call }: EffectOf<'engine.call'>): void {
    node.engineCalls += 1;
    const target = this.engines.get(engine.id);
    const isReachable = this.network.isReachable(node.vm.failureDomain, engine.failureDomain);
    setTimeout(() => {
      if (target === undefined || !target.isRunning || !isReachable) {
        node.dispatch({ kind: 'engine.replied', callId, reply: Err('unsent') });
        return;
      }
      const load = { kind: 'load', load: target.simulator.readLoad() } as const;
      const reply = call.kind === 'load.read' ? Ok(load) : Err('refused' as const);
      node.dispatch({ kind: 'engine.replied', callId, reply });
    }, 2 * this.network.delayMs);
  }

  private scheduleFault(fault: Fault): void {
    const handlers: FaultHandlers = {
      engineCrash: ({ fraction, atMs }) => {
        setTimeout(() => this.crashEngines(fraction), atMs);
      },
      domainPartition: ({ domain, atMs }) => {
        setTimeout(() => this.isolateDomain(domain), atMs);
      },
      staleLoad: () => {},
      linkLoss: ({ fraction }) => {
        this.network.lossFraction = fraction;
      },
    };
    const handler = handlers[fault.kind] as (handledFault: Fault) => void;
    handler(fault);
  }

  /** Crashes every n-th engine so that about the given fraction crashes. */
  private crashEngines(fraction: number): void {
    const engines = [...this.engines.values()];
    const step = Math.round(1 / fraction);
    engines.filter((_engine, index) => index % step === 0).forEach((engine) => engine.crash());
  }

  /** Makes a failure domain unreachable from all others and from the platform; closes its links. */
  private isolateDomain(domain: string): void {
    this.network.isolateDomain(domain);
    this.nodes.forEach((node) =>
      this.nodes.forEach((peer) => {
        if (this.network.isReachable(node.vm.failureDomain, peer.vm.failureDomain)) return;
        node.dispatch({ kind: 'link.closed', peer: peer.vm.id });
      }),
    );
  }

  private readUsageCounters(): UsageCounters[] {
    return [...this.nodes.values()].map(({ vm, node, engineCalls }) => ({
      totalNs: node.totalNs,
      linkBytes: this.network.readSentBytes(vm.id),
      engineCalls,
    }));
  }

  /** Resources used while requests arrived; excludes startup and the wait for completion. */
  private static measureUsage(
    { node: { decisionTimesUs } }: FleetNode,
    before: UsageCounters = NO_USAGE,
    after: UsageCounters = NO_USAGE,
    durationMs = 1,
  ): NodeUsage {
    const elapsedS = durationMs / MS_PER_S;
    return {
      decisionP50Us: decisionTimesUs.getValueAtPercentile(50),
      decisionP99Us: decisionTimesUs.getValueAtPercentile(99),
      coreFraction: (after.totalNs - before.totalNs) / NS_PER_MS / durationMs,
      linkBytesPerS: (after.linkBytes - before.linkBytes) / elapsedS,
      engineCallsPerS: (after.engineCalls - before.engineCalls) / elapsedS,
    };
  }
}
