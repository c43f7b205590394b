import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { EntryNode, type NodeEvent, type Readiness } from '@savorywind/decisions';
import {
  Err,
  logEvents,
  type Configuration,
  type EndpointKind,
  type EntryVm,
} from '@savorywind/model';
import { startCallerServer } from '../callers/caller-server.js';
import type { CallerSession } from '../callers/types.js';
import { startEngineAttempt } from '../endpoints/engine-attempt.js';
import { callEngine } from '../endpoints/engine-client.js';
import { startServiceAttempt } from '../endpoints/service-attempt.js';
import type { AttemptStarter, RunningAttempt } from '../endpoints/types.js';
import { createEventLogger } from '../observe/logger.js';
import { OperatorDesk } from '../operators/operator-desk.js';
import { startOperatorServer } from '../operators/operator-server.js';
import { PlatformClient } from '../platform/platform-client.js';
import type { EntrySettings } from '../settings/schema.js';
import { NodeRunner, type EffectHandlers } from './node-runner.js';

const ATTEMPT_STARTERS: Readonly<Record<EndpointKind, AttemptStarter>> = {
  engine: startEngineAttempt,
  service: startServiceAttempt,
};

/** One running entry VM: the decisions with sockets around them. */
export class EntryProcess {
  private readonly sessions = new Map<string, CallerSession>();

  private readonly attempts = new Map<string, RunningAttempt>();

  private configuration: Configuration | undefined;

  private readiness: Readiness = 'starting';

  private nextRequest = 1;

  private server: Server | undefined;

  private operatorServer: Server | undefined;

  private readonly desk = new OperatorDesk((event) => this.dispatch(event));

  private readonly vm: EntryVm;

  private readonly node: EntryNode;

  private readonly runner: NodeRunner;

  private readonly platform: PlatformClient;

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
    this.log = createEventLogger(settings.id, settings.log.level);
    this.node = new EntryNode({ vm: this.vm, seed: this.vm.incarnation });
    this.runner = new NodeRunner(this.node, this.createHandlers());
  }

  /** @returns the port on which callers are served */
  async start(): Promise<number> {
    this.server = await startCallerServer({
      settings: this.settings,
      readConfiguration: () => this.configuration,
      isReady: () => this.readiness === 'ready',
      createRequestId: () => this.createRequestId(),
      open: (session) => this.open(session),
      abandon: (requestId) => this.abandon(requestId),
    });
    this.operatorServer = await this.startOperators();
    const { port } = this.server.address() as AddressInfo;
    const { port: operatorPort } = this.operatorServer.address() as AddressInfo;
    this.log.write(logEvents.processStarted, { port, operatorPort });
    this.dispatch({ kind: 'started' });
    return port;
  }

  drain(): void {
    this.dispatch({ kind: 'drainRequested' });
  }

  private startOperators(): Promise<Server> {
    const { operators } = this.settings;
    return startOperatorServer({
      address: { host: operators.host, port: operators.port },
      credentials: operators.credentials,
      readHead: () => this.node.readHead(),
      readStatus: () => this.node.readStatus(),
      commitChange: (ask) => this.desk.commitChange(ask),
      readHistory: (limit) => this.desk.readHistory(limit),
      drain: () => this.drain(),
    });
  }

  private dispatch(event: NodeEvent): void {
    this.runner.dispatch(event);
  }

  private createRequestId(): string {
    const requestId = `${this.vm.id}-${this.vm.incarnation}-${this.nextRequest}`;
    this.nextRequest += 1;
    return requestId;
  }

  private open(session: CallerSession): void {
    const { contract } = session.request;
    this.sessions.set(contract.requestId, session);
    this.dispatch({ kind: 'request.arrived', contract });
  }

  private abandon(requestId: string): void {
    if (!this.sessions.delete(requestId)) return;
    this.dispatch({ kind: 'request.abandoned', requestId });
  }

  private stop(): void {
    this.runner.stop();
    this.platform.stop();
    this.operatorServer?.close();
    this.operatorServer?.closeIdleConnections();
    this.server?.close(() => this.onDrained());
    this.server?.closeIdleConnections();
  }

  private closeSession(requestId: string): CallerSession | undefined {
    const session = this.sessions.get(requestId);
    this.sessions.delete(requestId);
    return session;
  }

  private createHandlers(): EffectHandlers {
    return {
      'attempt.start': (start) => {
        const session = this.sessions.get(start.requestId);
        if (session === undefined) return;
        const startAttempt = ATTEMPT_STARTERS[start.endpoint.kind];
        const attempt = startAttempt(start, session.request, (event) => this.dispatch(event));
        this.attempts.set(start.attemptId, attempt);
      },
      'attempt.cancel': ({ attemptId }) => {
        this.attempts.get(attemptId)?.cancel();
        this.attempts.delete(attemptId);
      },
      'caller.sendHead': ({ requestId, head }) =>
        this.sessions.get(requestId)?.exchange.sendHead(head),
      'caller.sendChunk': ({ requestId, data }) =>
        this.sessions.get(requestId)?.exchange.sendChunk(data),
      'caller.finish': ({ requestId, reason, usage }) =>
        this.closeSession(requestId)?.exchange.finish(reason, usage),
      'caller.refuse': ({ requestId, refusal }) =>
        this.closeSession(requestId)?.exchange.refuse(refusal),
      'link.open': () => {},
      'link.close': () => {},
      'link.send': () => {},
      'platform.call': ({ callId, call }) =>
        this.platform.call(call, (reply) =>
          this.dispatch({ kind: 'platform.replied', callId, reply }),
        ),
      'engine.call': ({ callId, engine, call }) => {
        callEngine(engine, call)
          .catch(() => Err('unanswered' as const))
          .then((reply) => this.dispatch({ kind: 'engine.replied', callId, reply }));
      },
      'configuration.adopted': ({ configuration }) => {
        this.configuration = configuration;
      },
      'operator.reply': (effect) => this.desk.acceptReply(effect),
      'operator.history': (effect) => this.desk.acceptHistory(effect),
      readiness: ({ state }) => {
        this.readiness = state;
        if (state === 'drained') setImmediate(() => this.stop());
      },
      log: ({ event, fields }) => this.log.write(event, fields),
    };
  }
}
