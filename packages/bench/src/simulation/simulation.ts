import type { ChangeRequest, ChangeOutcome } from '@savorywind/decisions';
import type { EffectHandlers } from '@savorywind/entry';
import {
  CONFIGURATION_HEAD_KEY,
  Err,
  formatDocumentKey,
  tables,
  type Configuration,
  type ConfigurationHead,
  type DocumentRow,
  type EntryVm,
  type HeadRow,
  type RequestContract,
  type Row,
} from '@savorywind/model';
import { FakeCaller } from './fake-caller.js';
import { FakeEngine } from './fake-engine.js';
import { FakeEndpoints } from './fake-endpoints.js';
import { FakeEntryVm } from './fake-entry-vm.js';
import { FakePlatform, type PlatformMode } from './fake-platform.js';
import type { FakeService, ExecutionLog } from './fake-service.js';
import { FakeLinks } from './fake-links.js';
import {
  FakeNetwork,
  PLATFORM_LOCATION,
  type NetworkSettings,
  type NetworkLocation,
} from './fake-network.js';
import {
  assertUniqueVersions,
  assertDrainedWithoutRequests,
  assertFinishedInTime,
  assertMemoryReleased,
  assertSingleFinalResponse,
  assertExpectedResponse,
  assertRefusalAccurate,
  assertAtMostOnceExecution,
  assertVersionInForce,
  assertVersionIncreases,
  type CheckCounts,
} from './assertions.js';
import { createRandomSource } from './random-source.js';
import { EventLog } from './event-log.js';

export interface SimulationOptions {
  readonly seed: number;
  readonly configuration: Configuration;
  /** Failure domain of each entry VM, by id. */
  readonly entryVms: Readonly<Record<string, string>>;
  readonly network: NetworkSettings;
  readonly maxLogLines?: number;
}

/** Time after its deadline at which a request to a running entry VM must have ended. */
const DEADLINE_TOLERANCE_MS = 100;

/** Time until a platform call of an entry VM without a path to the platform fails. */
const PLATFORM_TIMEOUT_MS = 1_000;

/** Time until the platform's membership list shows a change. */
const MEMBERSHIP_LAG_MS = 2_000;

const DEFAULT_MAX_LOG_LINES = 0;

/**
 * Simulates entry VMs that run the real state machine, with fakes of callers, endpoints, platform
 * and network, and checks the guarantees to callers and operators. It runs on the clock of the
 * runtime, which its user pauses and advances.
 */
export class Simulation {
  readonly random;

  readonly network: FakeNetwork;

  readonly platform: FakePlatform;

  readonly links: FakeLinks;

  readonly eventLog: EventLog;

  readonly checkCounts: CheckCounts = new Map();

  readonly executions: ExecutionLog = new Map();

  readonly callers: FakeCaller[] = [];

  readonly entryVms = new Map<string, FakeEntryVm>();

  readonly endpoints: FakeEndpoints;

  /** Outcomes that were sent to operators, in order. */
  readonly changeOutcomes: { readonly changeId: string; readonly outcome: ChangeOutcome }[] = [];

  /** Digests of calls that must be executed at most once. */
  private readonly nonIdempotentDigests = new Set<string>();

  private readonly callersById = new Map<string, FakeCaller>();

  private readonly openCallers = new Map<string, FakeCaller>();

  private nextIncarnation = 1;

  constructor(private readonly options: SimulationOptions) {
    this.random = createRandomSource(options.seed);
    this.network = new FakeNetwork(this.random, options.network);
    this.eventLog = new EventLog(options.maxLogLines ?? DEFAULT_MAX_LOG_LINES);
    this.platform = new FakePlatform(this.random, (text) => this.eventLog.record(text));
    this.links = new FakeLinks(this.network, (vmId) => this.entryVms.get(vmId), this.eventLog);
    this.endpoints = new FakeEndpoints(
      this.network,
      this.eventLog,
      this.executions,
      (requestId) => this.callersById.get(requestId)?.contract,
    );
    this.writeInitialHead();
    options.configuration.endpoints.forEach((endpoint) => this.endpoints.add(endpoint));
    Object.keys(options.entryVms).forEach((id) => this.startEntryVm(id));
    this.updateMembership();
  }

  get engines(): ReadonlyMap<string, FakeEngine> {
    return this.endpoints.engines;
  }

  get services(): ReadonlyMap<string, FakeService> {
    return this.endpoints.services;
  }

  /** Starts a new incarnation of an entry VM; does nothing if the current one has not ended. */
  startEntryVm(id: string): void {
    if (this.entryVms.has(id) && this.entryVms.get(id)?.state !== 'dead') return;
    const incarnation = this.nextIncarnation;
    this.nextIncarnation += 1;
    const identity: EntryVm = {
      id,
      incarnation,
      failureDomain: this.options.entryVms[id] ?? '',
      link: { host: id, port: 1 },
    };
    const seed = this.options.seed * 1_000 + incarnation;
    this.endpoints.resetAttempts(id);
    const started = new FakeEntryVm(identity, seed, (entryVm) => this.createHandlers(entryVm));
    this.entryVms.set(id, started);
    this.eventLog.record(`${id} starts, incarnation ${incarnation}`);
    started.dispatch({ kind: 'started' });
    this.scheduleMembershipUpdate();
  }

  killEntryVm(id: string): void {
    const vm = this.entryVms.get(id);
    if (vm === undefined || vm.state === 'dead') return;
    this.eventLog.record(`${id} is killed`);
    this.stopEntryVm(vm);
  }

  /** Requests an entry VM to drain; its process ends once it is drained. */
  drainEntryVm(id: string): void {
    this.eventLog.record(`${id} is asked to stop`);
    this.entryVms.get(id)?.dispatch({ kind: 'drainRequested' });
    this.scheduleMembershipUpdate();
  }

  killEndpoint(id: string): void {
    this.eventLog.record(`${id} is killed`);
    this.engines.get(id)?.kill();
    this.services.get(id)?.kill();
  }

  restartEndpoint(id: string): void {
    const fakeProcess = (this.engines.get(id) ?? this.services.get(id))?.process;
    if (fakeProcess?.state !== 'dead') return;
    this.eventLog.record(`${id} starts again`);
    fakeProcess.restart();
  }

  /** Sends a request to an entry VM, as the balancer does; returns undefined if the VM is dead. */
  request(vmId: string, contract: RequestContract): FakeCaller | undefined {
    const vm = this.entryVms.get(vmId);
    if (vm === undefined || vm.state === 'dead') return undefined;
    const caller = new FakeCaller(contract, vmId, vm.identity.incarnation, performance.now());
    this.callers.push(caller);
    this.openCallers.set(contract.requestId, caller);
    this.callersById.set(contract.requestId, caller);
    if (contract.kind === 'service' && contract.idempotency === 'nonIdempotent') {
      this.nonIdempotentDigests.add(contract.digest);
    }
    this.eventLog.record(`caller asks ${vmId} for ${Simulation.describeContract(contract)}`);
    vm.run(() => {
      caller.isReceived = true;
      vm.dispatch({ kind: 'request.arrived', contract });
      this.scheduleDeadlineCheck(caller, contract.timeoutMs + DEADLINE_TOLERANCE_MS);
    });
    return caller;
  }

  abandonRequest(caller: FakeCaller): void {
    if (caller.outcome !== undefined) return;
    const { requestId } = caller.contract;
    this.eventLog.record(`caller of ${requestId} goes away`);
    this.finishCaller(caller, { kind: 'abandoned' });
    const vm = this.entryVms.get(caller.vmId);
    if (vm?.identity.incarnation === caller.incarnation) {
      vm.dispatch({ kind: 'request.abandoned', requestId });
    }
  }

  /** Sends an operator's configuration change to an entry VM. */
  requestChange(vmId: string, change: ChangeRequest): void {
    this.eventLog.record(`operator asks ${vmId} for change ${change.changeId}`);
    this.entryVms.get(vmId)?.dispatch({ kind: 'operator.change', ...change });
  }

  /** Commits a configuration in the table service, bypassing the entry VMs; returns its version. */
  commitConfiguration(change: (configuration: Configuration) => Configuration): number {
    const row = this.readHeadRow();
    const head = row.value as HeadRow;
    const version = head.version + 1;
    const value: ConfigurationHead = {
      ...head,
      version,
      changeId: `world-${version}`,
      configuration: change(this.readDocument(head)),
    };
    const { table, key, revision } = row;
    this.platform.store.apply([{ kind: 'replace', table, key, value, revision }]);
    this.eventLog.record(`operator commits configuration ${version}`);
    return version;
  }

  setPlatform(mode: PlatformMode): void {
    this.eventLog.record(`platform is ${mode}`);
    this.platform.mode = mode;
  }

  partition(a: NetworkLocation, b: NetworkLocation): void {
    this.eventLog.record(`${a} and ${b} are cut off from each other`);
    this.network.partition(a, b);
    this.links.closeUnreachable();
  }

  reconnect(a: NetworkLocation, b: NetworkLocation): void {
    this.eventLog.record(`${a} and ${b} reach each other again`);
    this.network.reconnect(a, b);
  }

  /** Ends all faults and restarts dead endpoints and entry VMs. */
  clearFaults(): void {
    this.network.reconnectAll();
    this.platform.mode = 'up';
    [...this.engines.values(), ...this.services.values()].forEach((endpoint) => {
      endpoint.process.resume();
      if (endpoint instanceof FakeEngine) endpoint.fault = 'none';
      this.restartEndpoint(endpoint.declaration.id);
    });
    this.entryVms.forEach((vm, id) => {
      vm.resume();
      this.startEntryVm(id);
    });
  }

  /** Checks the guarantees that hold at any time. */
  assertInvariants(): void {
    this.callers.forEach((caller) => {
      assertSingleFinalResponse(this.checkCounts, caller);
      assertRefusalAccurate(this.checkCounts, caller, this.executions);
    });
    assertAtMostOnceExecution(this.checkCounts, this.executions, this.nonIdempotentDigests);
    const commits = this.changeOutcomes.flatMap(({ changeId, outcome }) =>
      outcome.kind === 'committed' ? [{ changeId, version: outcome.version }] : [],
    );
    assertUniqueVersions(this.checkCounts, commits);
  }

  /** Checks the guarantees that hold once faults have ended and all deadlines have passed. */
  assertFinalState(): void {
    this.assertInvariants();
    this.callers.forEach((caller) => assertFinishedInTime(this.checkCounts, caller));
    this.engines.forEach((engine, id) =>
      assertMemoryReleased(this.checkCounts, id, engine.usedMemoryTokens),
    );
    this.assertConfigurationInForce();
  }

  /** Checks that every entry VM has the committed configuration in force. */
  assertConfigurationInForce(): void {
    const committed = (this.readHeadRow().value as ConfigurationHead).version;
    this.entryVms.forEach((vm, id) =>
      assertVersionInForce(this.checkCounts, id, committed, vm.configurationVersion),
    );
  }

  /** Whether no request is active and all engine memory is free. */
  isIdle(): boolean {
    const engines = [...this.engines.values()];
    return this.openCallers.size === 0 && engines.every((engine) => engine.usedMemoryTokens === 0);
  }

  private static describeContract(contract: RequestContract): string {
    if (contract.kind === 'model') {
      return `${contract.requestId}: ${contract.model}, ${contract.promptTokens} tokens`;
    }
    const key = contract.idempotencyKey ?? 'none';
    return `${contract.requestId}: ${contract.service}, ${contract.idempotency}, key ${key}`;
  }

  private writeInitialHead(): void {
    const value: ConfigurationHead = {
      version: 1,
      changeId: 'world-1',
      author: 'world',
      committedAtMs: 0,
      configuration: this.options.configuration,
    };
    const table = tables.configuration;
    this.platform.store.apply([{ kind: 'insert', table, key: CONFIGURATION_HEAD_KEY, value }]);
  }

  private readHeadRow(): Row {
    const key = CONFIGURATION_HEAD_KEY;
    const [outcome] = this.platform.store.apply([
      { kind: 'get', table: tables.configuration, key },
    ]);
    if (outcome?.kind !== 'row' || outcome.row === undefined)
      throw new Error('configuration head row not found');
    return outcome.row;
  }

  /** Reads the configuration of a head row; entry VMs store it in a separate document row. */
  private readDocument(head: HeadRow): Configuration {
    if (head.configuration !== undefined) return head.configuration;
    const key = formatDocumentKey(head.changeId);
    const [outcome] = this.platform.store.apply([
      { kind: 'get', table: tables.configuration, key },
    ]);
    if (outcome?.kind !== 'row' || outcome.row === undefined)
      throw new Error('configuration document row not found');
    return (outcome.row.value as DocumentRow).configuration;
  }

  /** Updates the platform's membership list after its lag. */
  private scheduleMembershipUpdate(): void {
    setTimeout(() => this.updateMembership(), MEMBERSHIP_LAG_MS);
  }

  private updateMembership(): void {
    this.platform.membership = [...this.entryVms.values()]
      .filter(({ state }) => state !== 'dead')
      .map(({ identity, readiness }) => ({
        vm: identity,
        state: readiness === 'leaving' || readiness === 'drained' ? 'leaving' : 'live',
      }));
  }

  /**
   * Stops a drained entry VM and checks that it has no admitted request. Requests that a suspended
   * process has not received yet do not count.
   */
  private stopDrained(vm: FakeEntryVm): void {
    if (vm.state === 'dead') return;
    const admitted = this.listOpenCallers(vm).filter(({ isReceived }) => isReceived);
    assertDrainedWithoutRequests(this.checkCounts, vm.identity.id, admitted.length);
    this.stopEntryVm(vm);
  }

  private listOpenCallers({ identity }: FakeEntryVm): FakeCaller[] {
    return [...this.openCallers.values()].filter(
      ({ vmId, incarnation }) => vmId === identity.id && incarnation === identity.incarnation,
    );
  }

  private stopEntryVm(vm: FakeEntryVm): void {
    vm.kill();
    const { id } = vm.identity;
    this.endpoints.closeAttempts(id);
    this.links.closeAll(id);
    this.listOpenCallers(vm).forEach((caller) =>
      this.finishCaller(caller, { kind: 'disconnected' }),
    );
    this.scheduleMembershipUpdate();
  }

  /** Counts a final response, also one after the request has ended; a second one is a violation. */
  private recordFinalResponse(vm: FakeEntryVm, requestId: string): void {
    const caller = this.callersById.get(requestId);
    if (caller === undefined || vm.state === 'dead') return;
    caller.finalResponseCount += 1;
    assertSingleFinalResponse(this.checkCounts, caller);
  }

  private finishCaller(caller: FakeCaller, outcome: NonNullable<FakeCaller['outcome']>): void {
    caller.end(outcome);
    this.openCallers.delete(caller.contract.requestId);
    assertExpectedResponse(this.checkCounts, caller);
    assertRefusalAccurate(this.checkCounts, caller, this.executions);
  }

  /**
   * Checks after a delay that a request has ended. While its entry VM is suspended the request can't
   * end, so the check is repeated until the VM has resumed.
   */
  private scheduleDeadlineCheck(caller: FakeCaller, delayMs: number): void {
    setTimeout(() => {
      if (caller.outcome !== undefined) return;
      const vm = this.entryVms.get(caller.vmId);
      if (vm?.state === 'suspended') this.scheduleDeadlineCheck(caller, DEADLINE_TOLERANCE_MS);
      else assertFinishedInTime(this.checkCounts, caller);
    }, delayMs);
  }

  private createHandlers(entryVm: FakeEntryVm): EffectHandlers {
    const { id, failureDomain } = entryVm.identity;
    const findCaller = (requestId: string): FakeCaller | undefined =>
      entryVm.state === 'dead' ? undefined : this.openCallers.get(requestId);
    return {
      'attempt.start': (start) => this.endpoints.startAttempt(entryVm, start),
      'attempt.cancel': ({ attemptId }) => this.endpoints.cancelAttempt(entryVm, attemptId),
      'caller.sendHead': ({ requestId, head }) => {
        const caller = findCaller(requestId);
        if (caller !== undefined) caller.status = head?.status;
      },
      'caller.sendChunk': ({ requestId, data }) => findCaller(requestId)?.addChunk(data),
      'caller.finish': ({ requestId }) => {
        const caller = findCaller(requestId);
        this.eventLog.record(`${id} finishes ${requestId}`);
        this.recordFinalResponse(entryVm, requestId);
        if (caller === undefined) return;
        this.finishCaller(caller, { kind: 'finished', text: caller.text, status: caller.status });
      },
      'caller.refuse': ({ requestId, refusal }) => {
        const caller = findCaller(requestId);
        const { code, ran } = refusal;
        this.eventLog.record(`${id} refuses ${requestId}: ${code.code} ${code.name}, ran ${ran}`);
        this.recordFinalResponse(entryVm, requestId);
        if (caller === undefined) return;
        this.finishCaller(caller, { kind: 'refused', refusal, text: caller.text });
      },
      'link.open': ({ vm }) => this.links.open(entryVm.identity, vm),
      'link.close': ({ peer }) => this.links.close(entryVm.identity, peer),
      'link.send': ({ peer, message }) => this.links.send(entryVm.identity, peer, message),
      'platform.call': ({ callId, call }) => {
        if (!this.network.isReachable(failureDomain, PLATFORM_LOCATION)) {
          setTimeout(() => {
            entryVm.dispatch({ kind: 'platform.replied', callId, reply: Err('unsent') });
          }, PLATFORM_TIMEOUT_MS);
          return;
        }
        this.platform.call(call, (reply) => {
          const isReachable = this.network.isReachable(failureDomain, PLATFORM_LOCATION);
          const receivedReply = isReachable ? reply : Err('unanswered' as const);
          entryVm.dispatch({ kind: 'platform.replied', callId, reply: receivedReply });
        });
      },
      'engine.call': (effect) => this.endpoints.callEngine(entryVm, effect),
      'configuration.adopted': ({ version }) => {
        assertVersionIncreases(this.checkCounts, id, entryVm.configurationVersion, version);
        entryVm.configurationVersion = version;
        this.eventLog.record(`${id} has configuration ${version} in force`);
      },
      'operator.reply': ({ changeId, outcome }) => {
        this.eventLog.record(`${id} answers change ${changeId}: ${outcome.kind}`);
        this.changeOutcomes.push({ changeId, outcome });
      },
      'operator.history': () => {},
      'operator.version': () => {},
      readiness: ({ state }) => {
        entryVm.readiness = state;
        this.eventLog.record(`${id} is ${state}`);
        if (state !== 'drained') return;
        setTimeout(() => entryVm.run(() => this.stopDrained(entryVm)), 0);
      },
      log: () => {},
    };
  }
}
