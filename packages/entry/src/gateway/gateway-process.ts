import {
  computeReadTimings,
  GatewayNode,
  type GatewayEffect,
  type GatewayEvent,
  type TableSource,
} from '@savorywind/decisions';
import { logEvents, type LogEvent, type LogFields, type WorkSnapshot } from '@savorywind/model';
import { HeapWatch } from '../observe/heap-watch.js';
import { createStdoutSink } from '../observe/log-sink.js';
import { describeError, type ErrorDescription } from '../observe/describe-error.js';
import { createEventLogger } from '../observe/logger.js';
import { listProcessGauges } from '../observe/process-gauges.js';
import { Containment, type Work } from '../runtime/containment.js';
import { StateMachineRunner, type EffectHandlersOf } from '../runtime/state-machine-runner.js';
import type { CallerExchange } from './callers/caller-exchange.js';
import { ParsingTurns } from './callers/parsing-turns.js';
import { RequestServer, type RequestServerOptions } from './callers/request-server.js';
import { resolveFailedEffect } from './effect-owners.js';
import { ElapsedClock } from './elapsed-clock.js';
import { ConnectionPools } from './endpoints/connection-pools.js';
import { probeEndpoint } from './endpoints/probe-endpoint.js';
import { ReservationCalls } from './endpoints/reservation-calls.js';
import { GatewayRoom } from './memory/gateway-room.js';
import { listControlGauges } from './metrics/control-gauges.js';
import { listHarmGauges } from './metrics/harm-gauges.js';
import { GatewayMetrics } from './metrics/gateway-metrics.js';
import { listContainedGauge } from './metrics/contained-gauge.js';
import { listRoomGauges } from './metrics/room-gauges.js';
import { listTableGauges } from './metrics/table-gauges.js';
import { MetricsServer } from './metrics/metrics-server.js';
import type { PermitMessage } from './permit-messages.js';
import { PeerSocket } from './peer-socket.js';
import { RequestEffects } from './request-effects.js';
import { ReadinessServer } from './readiness-server.js';
import { ForwardedExchange } from './peers/forwarded-exchange.js';
import { createPeerServer } from './peers/peer-server.js';
import { PeerRegistration } from './store/peer-registration.js';
import { StoreEra } from './store/store-era.js';
import { StoreTables } from './store/store-tables.js';
import { StoreUpdates } from './store/store-updates.js';
import type { GatewayAdapter, GatewaySettings } from './types.js';

/** Open requests are ended this long before the platform kills the process, in milliseconds. */
const STOP_MARGIN_MS = 400;

/** Least time for the last responses to be written before connections close, in milliseconds. */
const FINAL_WRITES_MS = 100;

/** Least time between two readings of the registrations because of an unknown sender, in milliseconds. */
const STRANGER_INTERVAL_MS = 1_000;

/**
 * One running gateway. Passes events from sockets, the store and peers to `GatewayNode`, which makes
 * all decisions, and carries out the effects that it returns.
 */
export class GatewayProcess {
  private readonly clock = new ElapsedClock();

  private readonly node: GatewayNode;

  private readonly runner: StateMachineRunner<GatewayEvent, GatewayEffect>;

  private readonly requestServer: RequestServer;

  /** Serves requests that peers forward. */
  private readonly peerServer: RequestServer;

  private readonly readinessServer: ReadinessServer;

  private readonly peerSocket: PeerSocket;

  private readonly pools = new ConnectionPools();

  private readonly peerPools: ConnectionPools;

  private readonly reservationCalls: ReservationCalls;

  private readonly requests: RequestEffects;

  private readonly containment = new Containment((work, error) => this.logContained(work, error));

  private readonly era = new StoreEra((previousEra, era) => this.handleEraRaised(previousEra, era));

  private readonly registration: PeerRegistration;

  /** Addresses of the entry VMs that the store holds. */
  private peerHosts: ReadonlySet<string> = new Set();

  private strangerSeenAtMs = Number.NEGATIVE_INFINITY;

  private readonly storeTables: StoreTables;

  private readonly logSink = createStdoutSink();

  private readonly metrics = new GatewayMetrics();

  private readonly metricsServer: MetricsServer | undefined;

  private readonly heapWatch = new HeapWatch((use) =>
    this.logger.write(logEvents.heapNearlyFull, { ...use }),
  );

  private reportedDroppedLines = 0;

  private readonly logger;

  private readonly room: GatewayRoom;

  /** Time from the stop signal until the process is killed, by the settings last loaded. */
  private stopGraceMs: number;

  private isDraining = false;

  /** When connections close at the latest, whether or not all responses are written. */
  private closesAtMs = 0;

  private isStopped = false;

  private isClosed = false;

  private closeTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly adapter: GatewayAdapter,
    private readonly onStopped: () => void,
  ) {
    const { self, contract } = settings;
    this.peerPools = new ConnectionPools(self.address.host);
    this.stopGraceMs = contract.stopGraceMs;
    const incarnation = Date.now();
    const { wire } = adapter;
    this.logger = createEventLogger(self.id, 'info', this.logSink);
    this.room = new GatewayRoom(settings.limits, (event, fields) => this.writeLog(event, fields));
    this.node = new GatewayNode({ self, incarnation, seed: incarnation, contract });
    this.requests = new RequestEffects({
      wire,
      pools: this.pools,
      peerPools: this.peerPools,
      dispatch: (event) => this.dispatch(event),
      containment: this.containment,
      room: this.room,
    });
    this.runner = new StateMachineRunner(this.node, this.createHandlers(), undefined, {
      onEffectFailed: (effect, error) => this.failEffect(effect, error),
      onBroken: (error) => this.reportBroken(error),
    });
    this.reservationCalls = new ReservationCalls({
      reservations: adapter.reservations,
      pools: this.pools,
      dispatch: (event) => this.dispatch(event),
      containment: this.containment,
    });
    const requestOptions: Omit<RequestServerOptions, 'address'> = {
      wire,
      bodyBudget: this.room.bodies,
      connections: this.room.connections,
      turns: new ParsingTurns(),
      onShortage: (reason) => this.room.recordRefusal(reason),
      onRequestReceived: (exchange, path, host) => this.openExchange(exchange, path, host),
      onDisconnected: (requestId, closedFor) => this.requests.abandon(requestId, closedFor),
      onHeadRefused: (detail) => this.logger.write(logEvents.requestHeadRefused, { detail }),
      onUnreadRefused: (request) => this.logger.write(logEvents.unreadRequestRefused, { request }),
      onAcceptFailed: (error) =>
        this.containment.record({ work: 'callers.accept', owner: 'request' }, error),
    };
    this.requestServer = new RequestServer({ ...requestOptions, address: settings.callers });
    this.peerServer = createPeerServer({
      requestOptions: { ...requestOptions, address: self.address },
      isPeer: (host) => this.peerHosts.has(host),
      onStrangerRefused: (host, detail) => this.handleStranger(host, detail),
      onUpgrade: (incoming, socket, head) => this.storeTables.handleUpgrade(incoming, socket, head),
    });
    this.readinessServer = new ReadinessServer(
      settings.readiness,
      wire.readinessPath,
      this.containment,
    );
    this.peerSocket = new PeerSocket({
      address: self.address,
      onSnapshotReceived: (snapshot, host) => this.handleSnapshot(snapshot, host),
      onPermitMessage: (message) => this.handlePermitMessage(message),
      onFailed: (detail) => this.logger.write(logEvents.peerUnreadable, { detail }),
      containment: this.containment,
    });
    if (settings.metrics !== undefined) {
      this.metricsServer = new MetricsServer(
        settings.metrics,
        () => this.renderMetrics(),
        this.containment,
      );
    }
    this.registration = new PeerRegistration({
      tables: adapter.tables,
      rows: adapter.rows,
      self,
      containment: this.containment,
      onRead: (peers, eras) => {
        this.peerHosts = new Set(peers.map(({ address }) => address.host));
        this.dispatch({ kind: 'peers.read', peers, ...eras });
      },
      onFoundRegistered: () => this.logger.write(logEvents.gatewayRestarted, {}),
      onUnreadable: (row) => this.logger.write(logEvents.storeEntryUnreadable, { key: row.key }),
    });
    this.storeTables = this.createStoreTables();
  }

  async start(): Promise<void> {
    await Promise.all([
      this.requestServer.start(),
      this.peerServer.start(),
      this.readinessServer.start(),
      this.peerSocket.start(),
    ]);
    this.startMetrics();
    this.heapWatch.start();
    this.logger.write(logEvents.gatewayStarted, { callers: this.settings.callers.port });
    this.dispatch({ kind: 'process.started' });
    this.storeTables.start();
    await this.registration.renew();
  }

  /** A metrics server that can't start is logged and does not prevent the gateway from serving. */
  private startMetrics(): void {
    this.metricsServer?.start().catch((error: Error) => {
      this.logger.write(logEvents.metricsNotShown, { detail: error.message });
    });
  }

  /**
   * Reports not ready immediately, still serves requests that arrive, and stops when all are answered
   * or shortly before the end of the grace period, when each open request gets its final response. Does
   * nothing if it was called before.
   */
  drain(): void {
    if (this.isDraining) return;
    this.isDraining = true;
    this.readinessServer.setReady(false);
    this.servers.forEach((server) => server.stopKeepAlive());
    const timeLeftMs = Math.max(0, this.stopGraceMs - STOP_MARGIN_MS);
    this.closesAtMs = performance.now() + timeLeftMs + FINAL_WRITES_MS;
    this.dispatch({ kind: 'drainRequested', timeLeftMs });
  }

  /** Stops without waiting for requests in flight. */
  stopImmediately(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.storeTables.stop();
    this.registration.stop();
    this.servers.forEach((server) => server.stop());
    this.close();
  }

  /** Applies the deployment's limits from new settings. Changed addresses need a restart. */
  changeSettings({ contract }: GatewaySettings): void {
    this.stopGraceMs = contract.stopGraceMs;
    this.dispatch({ kind: 'contract.changed', contract });
  }

  /** Writes the buffered log lines before it returns, in the last moments of the process. */
  flushLog(): void {
    this.logSink.flush();
  }

  /** Logs that a changed settings file is invalid. The current settings stay in force. */
  reportInvalidSettings(detail: string): void {
    this.logger.write(logEvents.gatewaySettingsInvalid, { detail });
  }

  /**
   * Dispatches an event to `GatewayNode`, preceded by a `time.lost` event if the process was suspended or
   * the wall clock was set forward; see `ElapsedClock`. Deadlines of requests use the monotonic clock, so
   * setting the wall clock forward ends no request.
   */
  private dispatch(event: GatewayEvent): void {
    const lostMs = this.clock.takeSuspendedMs();
    if (lostMs > 0) this.runner.dispatch({ kind: 'time.lost', lostMs });
    this.runner.dispatch(event);
  }

  /**
   * Ends the process, whoever has called `dispatch`: after an exception in the decisions their state may be
   * half changed.
   */
  // eslint-disable-next-line class-methods-use-this
  private reportBroken(error: unknown): void {
    queueMicrotask(() => {
      throw error;
    });
  }

  private logContained({ work, owner, ownerId }: Work, error: ErrorDescription): void {
    this.logger.write(logEvents.workFailed, { work, owner, id: ownerId, ...error });
  }

  private createStoreTables(): StoreTables {
    const { rows, tables } = this.adapter;
    const { contract, self } = this.settings;
    const updates = new StoreUpdates({
      rows,
      containment: this.containment,
      dispatch: (event) => this.dispatch(event),
      readClockMs: () => this.clock.readMs(),
      onUndecodable: (key) => this.logger.write(logEvents.storeEntryUnreadable, { key }),
      onPartRefused: (detail) => this.logger.write(logEvents.configurationPartRefused, { detail }),
    });
    return new StoreTables({
      tables,
      localHost: self.address.host,
      names: { configuration: rows.configurationTable, endpoints: rows.endpointTable },
      timings: computeReadTimings(contract),
      era: this.era,
      readClockMs: () => this.clock.readMs(),
      onConfigurationUpdated: (update) => updates.handleConfiguration(update),
      onEndpointsUpdated: (update) => updates.handleEndpoints(update),
      dispatch: (event) => this.dispatch(event),
      containment: this.containment,
    });
  }

  /** Reads all tables after an outage, and logs how old what is known of each has become. */
  private readTablesAgain(): void {
    const [configuration, endpoints] = this.storeTables.listAges();
    this.logger.write(logEvents.tablesReadAgain, {
      configurationAgeMs: Math.round(configuration.ageMs ?? 0),
      endpointsAgeMs: Math.round(endpoints.ageMs ?? 0),
    });
    this.storeTables.readNow();
  }

  private changeTableSource(source: TableSource): void {
    this.logger.write(logEvents.tableSourceChanged, { peer: source.peer?.id, role: source.role });
    this.storeTables.changeSource(source);
  }

  private handleEraRaised(previousEra: number, era: number): void {
    this.dispatch({ kind: 'store.eraRaised', previousEra, era });
  }

  /** Anybody can send a datagram: only registered entry VMs are believed what blocks requests. */
  private handleSnapshot(snapshot: WorkSnapshot, host: string): void {
    if (snapshot.harm === undefined || this.peerHosts.has(host)) {
      this.dispatch({ kind: 'peer.received', snapshot });
      return;
    }
    const detail = 'evidence of harm from a sender that is not registered';
    if (this.readRegistrations()) this.logger.write(logEvents.strangerRefused, { host, detail });
    this.dispatch({ kind: 'peer.received', snapshot: { ...snapshot, harm: undefined } });
  }

  private handlePermitMessage(message: PermitMessage): void {
    if (message.kind === 'permit.request')
      this.dispatch({ kind: 'permit.requested', request: message.request });
    else this.dispatch({ kind: 'permit.answered', answer: message.answer });
  }

  private openExchange(exchange: CallerExchange, path: string, host: string): void {
    const { requestId, received } = exchange;
    const { metadata, fingerprint } = received;
    if (this.isStopped) {
      exchange.refuse({ reason: 'notReady', retryAfterMs: 0 });
      return;
    }
    this.requests.add(exchange);
    const forwardedFrom = exchange instanceof ForwardedExchange ? exchange.forwarded : undefined;
    this.dispatch({
      kind: 'request.arrived',
      request: { requestId, host, path, fingerprint, ...metadata, forwardedFrom },
    });
  }

  /** Refuses a sender that is not known; an entry VM that has just registered is known the next time. */
  private handleStranger(host: string, detail: string): void {
    this.logger.write(logEvents.strangerRefused, { host, detail });
    this.readRegistrations();
  }

  /** Reads the registrations again because of an unknown sender, unless that was done just before. */
  private readRegistrations(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.strangerSeenAtMs < STRANGER_INTERVAL_MS) return false;
    this.strangerSeenAtMs = nowMs;
    this.registration.renew();
    return true;
  }

  /** The servers of callers and of peers. */
  private get servers(): readonly RequestServer[] {
    return [this.requestServer, this.peerServer];
  }

  /** Fails the owner of an effect whose handler has thrown. */
  private failEffect(effect: GatewayEffect, error: unknown): void {
    const { detail } = describeError(error);
    const { owner, ownerId, failure } = resolveFailedEffect(effect, detail);
    if (failure.kind === 'process') throw error;
    this.containment.record({ work: effect.kind, owner, ownerId }, error);
    if (failure.kind === 'event') this.dispatch(failure.event);
    if (failure.kind === 'request') this.requests.failRequest(failure.requestId);
  }

  private createHandlers(): EffectHandlersOf<GatewayEffect> {
    const { requests } = this;
    return {
      'attempt.start': (effect) => requests.startAttempt(effect),
      'attempt.forward': (effect) => requests.forwardAttempt(effect),
      'attempt.cancel': ({ attemptId }) => requests.cancelAttempt(attemptId),
      'attempt.withdraw': ({ attemptId }) => requests.withdrawAttempt(attemptId),
      'caller.relay': ({ requestId, attemptId, endpoint }) =>
        requests.relay(requestId, attemptId, endpoint),
      'caller.finish': ({ requestId }) =>
        requests.answer(requestId, (exchange) => exchange.finish()),
      'caller.breakOff': ({ requestId }) =>
        requests.answer(requestId, (exchange) => exchange.abort()),
      'caller.refuse': ({ requestId, refusal }) =>
        requests.answer(requestId, (exchange) => exchange.refuse(refusal)),
      'reservation.ask': (request) => this.reservationCalls.reserve(request),
      'reservation.release': (request) => this.reservationCalls.release(request),
      'path.probe': ({ endpoint, timeoutMs }) =>
        probeEndpoint(endpoint.address, timeoutMs, (outcome) =>
          this.dispatch({ kind: 'path.probed', endpoint: endpoint.id, outcome }),
        ),
      'peers.send': ({ snapshot, peers }) => this.peerSocket.send(snapshot, peers),
      'permit.request': ({ request, to }) =>
        this.peerSocket.sendMessage({ kind: 'permit.request', request }, to),
      'permit.answer': ({ answer, to }) =>
        this.peerSocket.sendMessage({ kind: 'permit.answer', answer }, to),
      'tables.readNow': () => this.readTablesAgain(),
      'tables.sourceChanged': ({ source }) => this.changeTableSource(source),
      'registration.prove': ({ era }) => {
        this.registration.prove(era);
      },
      'registration.renew': () => {
        this.registration.renew();
      },
      'callerLimits.changed': ({ limits }) =>
        this.servers.forEach((server) => server.changeLimits(limits)),
      'endpoint.forgotten': ({ endpoint }) => this.pools.remove(endpoint),
      readiness: ({ ready }) => this.readinessServer.setReady(ready),
      'callers.close': () => this.servers.forEach((server) => server.close()),
      drained: () => this.stop(),
      'request.measured': ({ measured }) => this.metrics.record(measured),
      log: ({ event, fields }) => this.writeLog(event, fields),
    };
  }

  private writeLog(event: LogEvent, fields: LogFields): void {
    const { droppedLines } = this.logSink;
    if (droppedLines > this.reportedDroppedLines) {
      this.logger.write(logEvents.logLinesDropped, {
        lines: droppedLines - this.reportedDroppedLines,
      });
      this.reportedDroppedLines = droppedLines;
    }
    this.logger.write(event, fields);
  }

  private renderMetrics(): string {
    return this.metrics.render([
      {
        metric: 'savorywind_requests_in_flight',
        help: 'Requests that have no final answer yet.',
        value: this.requests.openCount,
      },
      ...listControlGauges({
        traffic: this.peerSocket.trafficBytes,
        linkBytesPerMs: this.settings.contract.linkBytesPerMs,
        limits: this.node.limitUsage,
        cold: this.node.coldUsage,
        availability: this.node.availabilityUsage,
        evacuation: this.node.evacuationUsage,
        paths: this.node.pathUsage,
        forwarding: this.node.forwardingUsage,
        storeEras: this.era.raises,
        longestTimerDelayMs: this.runner.takeLongestTimerDelayMs(),
      }),
      ...listTableGauges(this.storeTables.source, this.storeTables.listAges()),
      ...listHarmGauges(this.node.harmUsage),
      ...listRoomGauges(this.room),
      ...listProcessGauges(this.logSink.droppedLines),
      listContainedGauge(this.containment.counts),
    ]);
  }

  private stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.storeTables.stop();
    this.registration.stop();
    this.servers.forEach((server) => server.stop());
    setTimeout(() => this.waitForResponses(), FINAL_WRITES_MS);
    // A caller that reads slowly can't keep the process from ending.
    const timeLeftMs = Math.max(FINAL_WRITES_MS, this.closesAtMs - performance.now());
    this.closeTimer = setTimeout(() => this.close(), timeLeftMs);
  }

  /** Closes once all responses to callers and to peers are handed to the operating system. */
  private waitForResponses(): void {
    this.requestServer.waitForResponses(() => this.peerServer.waitForResponses(() => this.close()));
  }

  private logClosed(request: string | undefined): void {
    this.logger.write(logEvents.connectionClosedUnanswered, { request, reason: 'stopping' });
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.closeTimer);
    this.requests.listOpen().forEach((request) => this.logClosed(request));
    const unwritten = this.servers.reduce((sum, server) => sum + server.openResponseCount, 0);
    this.servers.forEach((server) => server.closeAllConnections());
    this.runner.stop();
    this.heapWatch.stop();
    this.room.stop();
    this.pools.stop();
    this.peerPools.stop();
    this.adapter.tables.stop();
    this.peerSocket.stop();
    this.readinessServer.stop();
    this.metricsServer?.stop();
    this.logger.write(logEvents.gatewayStopped, { unwritten });
    this.flushLog();
    this.onStopped();
  }
}
