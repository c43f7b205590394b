import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { EntryNode, type Readiness } from '@savorywind/decisions';
import { logEvents, resultCodes, type Configuration, type EntryVm } from '@savorywind/model';
import { startCallerServer, type CallerServer } from '../callers/caller-server.js';
import type { CallerServerContext, CallerSession } from '../callers/types.js';
import { EntryLinks } from '../links/entry-links.js';
import { createStdoutSink } from '../observe/log-sink.js';
import { createEventLogger } from '../observe/logger.js';
import { PendingOperatorCalls } from '../operators/pending-operator-calls.js';
import { startOperatorServer } from '../operators/operator-server.js';
import { listProcessGauges } from '../observe/process-gauges.js';
import { renderMetricsText, type Gauge } from '../observe/render-metrics.js';
import { RequestMeasurement } from '../observe/request-measurement.js';
import { RequestMetrics } from '../observe/request-metrics.js';
import { PlatformClient } from '../platform/platform-client.js';
import type { EntrySettings } from '../settings/schema.js';
import { CallerSessions } from './caller-sessions.js';
import { createAttemptEffects } from './effects/attempt-effects.js';
import { createCallerEffects } from './effects/caller-effects.js';
import { createLinkEffects } from './effects/link-effects.js';
import { createOperatorEffects } from './effects/operator-effects.js';
import { createEngineEffects, createPlatformEffects } from './effects/platform-effects.js';
import type { Dispatch, EffectHandlers } from './effects/types.js';
import { StateMachineRunner } from './state-machine-runner.js';

/** A running entry VM: connects the state machine of a node to its servers, links and clients. */
export class EntryProcess {
  private readonly sessions = new CallerSessions();

  private configuration: Configuration | undefined;

  private configurationVersion = 0;

  private readiness: Readiness = 'starting';

  /** Set once a drain has been requested. */
  private drainTimer: NodeJS.Timeout | undefined;

  private stopped = false;

  private readonly requestMetrics = new RequestMetrics();

  private nextRequestNumber = 1;

  private callerServer: CallerServer | undefined;

  private operatorServer: Server | undefined;

  private listeningOperatorPort: number | undefined;

  private readonly operatorCalls = new PendingOperatorCalls((event) => this.runner.dispatch(event));

  private readonly vm: EntryVm;

  private readonly node: EntryNode;

  private readonly runner: StateMachineRunner;

  private readonly platform: PlatformClient;

  private readonly links: EntryLinks;

  private readonly logSink = createStdoutSink();

  private readonly log;

  constructor(
    private readonly settings: EntrySettings,
    private readonly onDrained: () => void,
  ) {
    this.vm = {
      id: settings.id,
      incarnation: Date.now(),
      failureDomain: settings.failureDomain,
      link: settings.links,
    };
    this.platform = new PlatformClient(settings.platform);
    this.links = new EntryLinks(this.vm, (event) => this.runner.dispatch(event));
    this.log = createEventLogger(settings.id, settings.log.level, this.logSink);
    this.node = new EntryNode({ vm: this.vm, seed: this.vm.incarnation });
    this.runner = new StateMachineRunner(this.node, this.createEffectHandlers());
  }

  /** Port of the operator API, also if the settings give port 0; undefined before the start. */
  get operatorPort(): number | undefined {
    return this.listeningOperatorPort;
  }

  /**
   * Starts servers and links.
   *
   * @returns the port of the server for callers
   */
  async start(): Promise<number> {
    this.callerServer = await startCallerServer(this.createCallerContext());
    this.operatorServer = await this.startOperatorServer();
    const { port } = this.callerServer;
    await this.links.start();
    const { port: operatorPort } = this.operatorServer.address() as AddressInfo;
    this.listeningOperatorPort = operatorPort;
    this.log.write(logEvents.processStarted, { port, operatorPort });
    this.runner.dispatch({ kind: 'started' });
    return port;
  }

  /**
   * Reports this entry VM as not ready at once, and starts the drain after `drainNoticeMs`, so that the
   * load balancer can react first. Requests that arrive in between are served.
   */
  drain(): void {
    if (this.drainTimer !== undefined) return;
    this.drainTimer = setTimeout(
      () => this.runner.dispatch({ kind: 'drainRequested' }),
      this.settings.limits.drainNoticeMs,
    );
  }

  /** Reloads the settings that may change at run time: certificate and key of the server for callers. */
  reloadCertificate(): void {
    const result = this.callerServer?.reloadCertificate();
    if (result === undefined) return;
    if (result.ok) this.log.write(logEvents.certificateReloaded, {});
    else this.log.write(logEvents.certificateRejected, { detail: result.val });
  }

  /** Renders the metrics of this process in the Prometheus text format. */
  renderMetrics(): string {
    return renderMetricsText(this.requestMetrics, this.listGauges());
  }

  private listGauges(): Gauge[] {
    return [
      {
        metric: 'savorywind_requests_in_flight',
        help: 'Requests that wait for an answer.',
        value: this.sessions.count,
      },
      {
        metric: 'savorywind_ready',
        help: '1 where this entry VM takes requests.',
        value: this.readReadiness() === 'ready' ? 1 : 0,
      },
      {
        metric: 'savorywind_configuration_version',
        help: 'Version of the configuration in force.',
        value: this.configurationVersion,
      },
      ...listProcessGauges(this.logSink.droppedLines),
    ];
  }

  private readReadiness(): Readiness {
    return this.drainTimer !== undefined && this.readiness === 'ready' ? 'leaving' : this.readiness;
  }

  private createCallerContext(): CallerServerContext {
    return {
      settings: this.settings,
      readConfiguration: () => this.configuration,
      readReadiness: () => this.readReadiness(),
      createRequestId: () => this.createRequestId(),
      createMeasurement: (contract) => new RequestMeasurement(this.requestMetrics, contract),
      openSession: (session) => this.openSession(session),
      abandonRequest: (requestId) => this.abandonRequest(requestId),
      renderMetrics: () => this.renderMetrics(),
      recordRefusal: (request, { code, ran }) => {
        this.requestMetrics.recordRejection(code.code);
        this.log.write(logEvents.requestRejected, { request, code: code.code, ran });
      },
      recordStalledCaller: (request) => this.log.write(logEvents.callerTooSlow, { request }),
    };
  }

  private startOperatorServer(): Promise<Server> {
    const { operators } = this.settings;
    return startOperatorServer({
      address: { host: operators.host, port: operators.port },
      credentials: operators.credentials,
      readHead: () => this.node.readHead(),
      readStatus: () => this.node.readStatus(),
      commitChange: (change) => this.operatorCalls.commitChange(change),
      readHistory: (limit) => this.operatorCalls.readHistory(limit),
      readVersion: (version) => this.operatorCalls.readVersion(version),
      drain: () => this.drain(),
    });
  }

  private createRequestId(): string {
    const requestId = `${this.vm.id}-${this.vm.incarnation}-${this.nextRequestNumber}`;
    this.nextRequestNumber += 1;
    return requestId;
  }

  private openSession(session: CallerSession): void {
    const { contract } = session.request;
    if (this.stopped) {
      session.responseWriter.refuse({ code: resultCodes.draining, ran: 'no' });
      return;
    }
    this.sessions.add(session);
    this.runner.dispatch({ kind: 'request.arrived', contract });
  }

  private abandonRequest(requestId: string): void {
    const session = this.sessions.remove(requestId);
    if (session === undefined) return;
    session.measurement.recordAbandonment();
    this.runner.dispatch({ kind: 'request.abandoned', requestId });
  }

  private stop(): void {
    this.stopped = true;
    this.runner.stop();
    this.platform.stop();
    this.operatorServer?.close();
    this.operatorServer?.closeIdleConnections();
    this.links.stop();
    this.callerServer?.close(() => {
      this.log.write(logEvents.processStopped, {});
      this.logSink.flush();
      this.onDrained();
    });
  }

  private changeReadiness(state: Readiness): void {
    this.readiness = state;
    if (state === 'drained') setImmediate(() => this.stop());
  }

  private createEffectHandlers(): EffectHandlers {
    const dispatch: Dispatch = (event) => this.runner.dispatch(event);
    return {
      ...createAttemptEffects((requestId) => this.sessions.find(requestId), dispatch),
      ...createCallerEffects(this.sessions),
      ...createLinkEffects(this.links),
      ...createPlatformEffects(this.platform, dispatch),
      ...createEngineEffects(dispatch),
      'configuration.adopted': ({ version, configuration }) => {
        this.configurationVersion = version;
        this.configuration = configuration;
      },
      ...createOperatorEffects(this.operatorCalls),
      readiness: ({ state }) => this.changeReadiness(state),
      log: ({ event, fields }) => this.log.write(event, fields),
    };
  }
}
