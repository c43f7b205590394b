import { GatewayNode, type GatewayEffect, type GatewayEvent } from '@savorywind/decisions';
import { logEvents, type GatewayEndpoint, type LogEvent, type LogFields } from '@savorywind/model';
import { createStdoutSink } from '../observe/log-sink.js';
import { createEventLogger } from '../observe/logger.js';
import { listProcessGauges } from '../observe/process-gauges.js';
import { NodeRunner, type HandlersOf } from '../runtime/node-runner.js';
import type { CallerExchange } from './callers/caller-exchange.js';
import { FrontServer } from './callers/front-server.js';
import { ElapsedClock } from './elapsed-clock.js';
import { ConnectionPools } from './endpoints/connection-pools.js';
import { EndpointAttempt } from './endpoints/endpoint-attempt.js';
import { GatewayMetrics } from './metrics/gateway-metrics.js';
import { MetricsServer } from './metrics/metrics-server.js';
import { PeerSocket } from './peer-socket.js';
import { ReadinessServer } from './readiness-server.js';
import { TableWatch, type TableUpdate } from './store/table-watch.js';
import type { TableRow } from './store/types.js';
import type { GatewayAdapter, GatewaySettings, ReservationAsk } from './types.js';

/** Confirmations of the configuration in the time for which one keeps credentials fresh. */
const CONFIRMATIONS_PER_FRESHNESS = 3;

/** Longest wait for a change of the configuration, in confirmations: those bring changes as well. */
const CONFIRMATIONS_PER_WAIT = 6;

/** Time before the platform kills the process at which it ends by itself, in milliseconds. */
const STOP_MARGIN_MS = 400;

/** Time for final answers to leave the process, in milliseconds. */
const LAST_WRITES_MS = 100;

/** Pause before the registration of this entry VM is tried again, in milliseconds. */
const REGISTER_AGAIN_MS = 500;

/** One running gateway: the decisions with sockets around them. */
export class GatewayProcess {
  private readonly clock = new ElapsedClock();

  private readonly node: GatewayNode;

  private readonly runner: NodeRunner<GatewayEvent, GatewayEffect>;

  private readonly front: FrontServer;

  private readonly readiness: ReadinessServer;

  private readonly peers: PeerSocket;

  private readonly pools = new ConnectionPools();

  private readonly exchanges = new Map<string, CallerExchange>();

  private readonly attempts = new Map<string, EndpointAttempt>();

  private readonly watches: TableWatch[];

  private readonly logSink = createStdoutSink();

  private readonly metrics = new GatewayMetrics();

  private readonly metricsServer: MetricsServer | undefined;

  private reportedDrops = 0;

  private readonly log;

  private stopped = false;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly adapter: GatewayAdapter,
    private readonly onStopped: () => void,
  ) {
    const { self, contract } = settings;
    const incarnation = Date.now();
    const { wire } = adapter;
    this.log = createEventLogger(self.id, 'info', this.logSink);
    this.node = new GatewayNode({ self, incarnation, seed: incarnation, contract });
    this.runner = new NodeRunner(this.node, this.createHandlers());
    this.front = new FrontServer({
      address: settings.callers,
      wire,
      onRequest: (exchange, path, host) => this.open(exchange, path, host),
      onGone: (requestId) => this.abandon(requestId),
    });
    this.readiness = new ReadinessServer(settings.readiness, wire.readinessPath);
    this.peers = new PeerSocket({
      address: self.address,
      onSnapshot: (snapshot) => this.dispatch({ kind: 'peer.received', snapshot }),
      onUnreadable: (detail) => this.log.write(logEvents.peerUnreadable, { detail }),
    });
    if (settings.metrics !== undefined) {
      this.metricsServer = new MetricsServer(settings.metrics, () => this.renderMetrics());
    }
    this.watches = this.createWatches();
  }

  async start(): Promise<void> {
    await Promise.all([this.front.start(), this.readiness.start(), this.peers.start()]);
    this.startMetrics();
    this.log.write(logEvents.gatewayStarted, { callers: this.settings.callers.port });
    this.watches.forEach((watch) => watch.start());
    await this.register();
  }

  /** Requests are served also where metrics can't be shown. */
  private startMetrics(): void {
    this.metricsServer?.start().catch((fault: Error) => {
      this.log.write(logEvents.metricsNotShown, { detail: fault.message });
    });
  }

  /** Says at once that no requests are taken, and ends when those that still come are answered. */
  drain(): void {
    this.readiness.setReady(false);
    this.front.announceStop();
    this.dispatch({ kind: 'drainRequested' });
    const { stopGraceMs } = this.settings.contract;
    setTimeout(() => this.stop(), stopGraceMs - STOP_MARGIN_MS).unref();
  }

  /** Ends without waiting for anything. */
  stopAtOnce(): void {
    if (this.stopped) return;
    this.stopped = true;
    this.watches.forEach((watch) => watch.stop());
    this.front.stop();
    this.end();
  }

  /** Takes the deployment's limits anew; addresses stay until the next start. */
  reload({ contract }: GatewaySettings): void {
    this.dispatch({ kind: 'contract.changed', contract });
  }

  /** Says that settings were read again and are not valid; those in force stay. */
  rejectSettings(detail: string): void {
    this.log.write(logEvents.gatewaySettingsInvalid, { detail });
  }

  /**
   * Hands an event to the decisions, after the time that their clock did not count. Requests go by the
   * steady clock: a time of day that is set forward ends none of them.
   */
  private dispatch(event: GatewayEvent): void {
    const lostMs = this.clock.takeLostMs();
    if (lostMs > 0) this.runner.dispatch({ kind: 'time.lost', lostMs });
    this.runner.dispatch(event);
  }

  private createWatches(): TableWatch[] {
    const { rows, tables } = this.adapter;
    const { credentialFreshnessMs, leavingNoticeMs } = this.settings.contract;
    const confirmEveryMs = Math.floor(credentialFreshnessMs / CONFIRMATIONS_PER_FRESHNESS);
    const readClockMs = (): number => this.clock.readMs();
    return [
      new TableWatch({
        tables,
        table: rows.configurationTable,
        waitMs: CONFIRMATIONS_PER_WAIT * confirmEveryMs,
        confirmEveryMs,
        readClockMs,
        onUpdate: (update) => this.acceptConfiguration(update),
      }),
      new TableWatch({
        tables,
        table: rows.endpointTable,
        // A question that is lost is asked again within the time for which leaving endpoints serve.
        waitMs: leavingNoticeMs,
        confirmEveryMs: undefined,
        readClockMs,
        onUpdate: (update) => this.acceptEndpoints(update),
      }),
    ];
  }

  private acceptConfiguration(update: TableUpdate): void {
    if (update.kind === 'failed') {
      this.dispatch({ kind: 'store.failed', detail: update.detail });
      return;
    }
    const { rows } = this.adapter;
    const row = update.rows.findLast(
      ({ key, removed }) => key === rows.configurationKey && !removed,
    );
    const configuration = row === undefined ? undefined : rows.decodeConfiguration(row);
    if (row !== undefined && configuration === undefined) this.logUnreadable(row);
    this.dispatch({
      kind: 'configuration.confirmed',
      askedAtMs: performance.now() - (this.clock.readMs() - update.askedAtMs),
      configuration,
    });
  }

  private acceptEndpoints(update: TableUpdate): void {
    if (update.kind === 'failed') {
      this.dispatch({ kind: 'store.failed', detail: update.detail });
      return;
    }
    const changes = update.rows.map((row) => ({ id: row.key, endpoint: this.decodeEndpoint(row) }));
    if (update.kind === 'changes') {
      this.dispatch({ kind: 'endpoints.changed', changes });
      return;
    }
    const endpoints = changes.flatMap(({ endpoint }) => endpoint ?? []);
    this.dispatch({ kind: 'endpoints.read', endpoints });
  }

  private decodeEndpoint(row: TableRow): GatewayEndpoint | undefined {
    if (row.removed) return undefined;
    const endpoint = this.adapter.rows.decodeEndpoint(row);
    if (endpoint === undefined) this.logUnreadable(row);
    return endpoint;
  }

  private logUnreadable({ key }: TableRow): void {
    this.log.write(logEvents.storeEntryUnreadable, { key });
  }

  /** Writes this entry VM's row and reads the others: of any two, the later one sees the earlier. */
  private async register(): Promise<void> {
    const { rows, tables } = this.adapter;
    const { self } = this.settings;
    const written = await tables.putRow(rows.peerTable, self.id, rows.encodePeer(self));
    const read = await tables.readAll(rows.peerTable);
    if (this.stopped) return;
    if (written.err || read.err) {
      setTimeout(() => this.register(), REGISTER_AGAIN_MS).unref();
      return;
    }
    const peers = read.val.rows
      .filter(({ removed }) => !removed)
      .flatMap((row) => rows.decodePeer(row) ?? []);
    this.dispatch({ kind: 'peers.read', peers });
  }

  private open(exchange: CallerExchange, path: string, host: string): void {
    const { requestId, facts } = exchange;
    if (this.stopped) {
      exchange.refuse({ reason: 'notReady', retryAfterMs: 0 });
      return;
    }
    this.exchanges.set(requestId, exchange);
    this.dispatch({
      kind: 'request.arrived',
      request: { requestId, host, path, ...facts },
    });
  }

  private abandon(requestId: string): void {
    if (!this.exchanges.delete(requestId)) return;
    this.dispatch({ kind: 'request.abandoned', requestId });
  }

  private takeExchange(requestId: string): CallerExchange | undefined {
    const exchange = this.exchanges.get(requestId);
    this.exchanges.delete(requestId);
    return exchange;
  }

  private startAttempt(start: Extract<GatewayEffect, { kind: 'attempt.start' }>): void {
    const exchange = this.exchanges.get(start.requestId);
    if (exchange === undefined) return;
    const { wire } = this.adapter;
    const dispatchAttempt = (event: GatewayEvent): void => {
      if (event.kind === 'attempt.ended' || event.kind === 'attempt.failed') {
        this.attempts.delete(start.attemptId);
      }
      this.dispatch(event);
    };
    const attempt = new EndpointAttempt({
      start,
      exchange,
      pools: this.pools,
      wire,
      dispatch: dispatchAttempt,
    });
    this.attempts.set(start.attemptId, attempt);
  }

  private reserve(ask: ReservationAsk): void {
    const { reservationId, endpoint } = ask;
    const agent = this.pools.find(endpoint.id, 'kept');
    this.adapter.orders.reserve(ask, agent).then((outcome) => {
      this.dispatch({ kind: 'reservation.answered', reservationId, outcome });
    });
  }

  private createHandlers(): HandlersOf<GatewayEffect> {
    return {
      'attempt.start': (effect) => this.startAttempt(effect),
      'attempt.cancel': ({ attemptId }) => {
        this.attempts.get(attemptId)?.cancel();
        this.attempts.delete(attemptId);
      },
      'caller.relay': ({ attemptId }) => this.attempts.get(attemptId)?.pass(),
      'caller.finish': ({ requestId }) => this.takeExchange(requestId)?.finish(),
      'caller.breakOff': ({ requestId }) => this.takeExchange(requestId)?.breakOff(),
      'caller.refuse': ({ requestId, refusal }) => this.takeExchange(requestId)?.refuse(refusal),
      'reservation.ask': (ask) => this.reserve(ask),
      'reservation.release': (release) => {
        const agent = this.pools.find(release.endpoint.id, 'kept');
        this.adapter.orders.release(release, agent);
      },
      'peers.send': ({ snapshot, peers }) => this.peers.send(snapshot, peers),
      'callerLimits.changed': ({ limits }) => this.front.changeLimits(limits),
      'endpoint.forgotten': ({ endpoint }) => this.pools.forget(endpoint),
      readiness: ({ ready }) => this.readiness.setReady(ready),
      'callers.close': () => this.front.close(),
      drained: () => this.stop(),
      'request.measured': ({ measured }) => this.metrics.record(measured),
      log: ({ event, fields }) => this.writeLog(event, fields),
    };
  }

  private writeLog(event: LogEvent, fields: LogFields): void {
    const { droppedLines } = this.logSink;
    if (droppedLines > this.reportedDrops) {
      this.log.write(logEvents.logLinesDropped, { lines: droppedLines - this.reportedDrops });
      this.reportedDrops = droppedLines;
    }
    this.log.write(event, fields);
  }

  private renderMetrics(): string {
    return this.metrics.render([
      {
        metric: 'savorywind_requests_in_flight',
        help: 'Requests that have no final answer yet.',
        value: this.exchanges.size,
      },
      ...listProcessGauges(this.logSink.droppedLines),
    ]);
  }

  private stop(): void {
    if (this.stopped) return;
    this.stopped = true;
    this.watches.forEach((watch) => watch.stop());
    this.front.stop();
    // Final answers that were just written leave first.
    setTimeout(() => this.end(), LAST_WRITES_MS);
  }

  private end(): void {
    this.front.destroyConnections();
    this.runner.stop();
    this.pools.stop();
    this.adapter.tables.stop();
    this.peers.stop();
    this.readiness.stop();
    this.metricsServer?.stop();
    this.log.write(logEvents.gatewayStopped, {});
    this.logSink.flush();
    this.onStopped();
  }
}
