import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { NetworkAddress } from '@savorywind/model';
import type { CallerExchange } from '../callers/caller-exchange.js';
import type { AnswerFacts, DispatchGatewayEvent, GatewayWire, StartAttempt } from '../types.js';
import { AnswerRelay } from './answer-relay.js';
import type { ConnectionPools } from './connection-pools.js';

const FIRST_SUCCESS = 200;
const EVENT_STREAM = 'text/event-stream';

export interface EndpointAttemptOptions {
  readonly start: StartAttempt;
  readonly exchange: CallerExchange;
  readonly pools: ConnectionPools;
  readonly wire: GatewayWire;
  readonly dispatch: DispatchGatewayEvent;
}

type Failure = 'notSent' | 'rejected' | 'otherEndpoint' | 'broken' | 'invalid';

/** One request at one endpoint, from its connection to the end of the answer. */
export class EndpointAttempt {
  private readonly outgoing: ClientRequest;

  /** Whether bytes of the request may have left. */
  private mayHaveLeft = false;

  private connectTimer: NodeJS.Timeout | undefined;

  private relay: AnswerRelay | undefined;

  private ended = false;

  constructor(private readonly options: EndpointAttemptOptions) {
    this.outgoing = this.createRequest();
    this.outgoing.on('socket', (socket) => this.acceptSocket(socket));
    this.outgoing.on('response', (answer) => this.acceptAnswer(answer));
    this.outgoing.on('error', (fault: NodeJS.ErrnoException) => this.acceptError(fault));
    this.outgoing.end(options.exchange.body.length > 0 ? options.exchange.body : undefined);
  }

  pass(): void {
    this.relay?.pass();
  }

  cancel(): void {
    this.ended = true;
    clearTimeout(this.connectTimer);
    this.relay?.cancel();
    this.outgoing.destroy();
  }

  private createRequest(): ClientRequest {
    const { start, exchange, pools, wire } = this.options;
    const { endpoint, connection } = start;
    return request({
      host: endpoint.address.host,
      port: endpoint.address.port,
      method: exchange.method,
      path: exchange.url,
      headers: [
        ...exchange.listHeaders((name) => wire.isPassedOn(name), start.lastEventId !== undefined),
        ...wire.buildAttemptHeaders(start),
      ],
      agent: pools.find(endpoint.id, connection),
      setHost: false,
    });
  }

  private acceptSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.mayHaveLeft = true;
      return;
    }
    const { connectTimeoutMs } = this.options.start;
    this.connectTimer = setTimeout(() => {
      this.fail('notSent', 'no connection in time');
      this.outgoing.destroy();
    }, connectTimeoutMs);
    socket.once('connect', () => {
      clearTimeout(this.connectTimer);
      this.mayHaveLeft = true;
    });
  }

  private acceptAnswer(answer: IncomingMessage): void {
    const { wire, exchange, start, dispatch } = this.options;
    const status = answer.statusCode ?? 0;
    const facts = wire.readAnswer(status, answer.headers);
    const isOwn =
      facts.callerAttempt === undefined || facts.callerAttempt === exchange.facts.callerAttempt;
    if (!isOwn || answer.headers['content-encoding'] !== undefined) {
      this.drop(answer, 'invalid', 'answer of another request, or encoded');
    } else if (facts.outcome !== 'answered') {
      this.acceptRejection(answer, facts.outcome, facts);
    } else {
      const type = answer.headers['content-type'] ?? '';
      const deliversEvents =
        start.delivery === 'events' && status === FIRST_SUCCESS && type.startsWith(EVENT_STREAM);
      const { attemptId } = start;
      this.relay = new AnswerRelay(
        { attemptId, answer, facts, exchange, dispatch },
        deliversEvents,
      );
    }
  }

  /** The body is read to its end, so that the connection can be kept. */
  private acceptRejection(
    answer: IncomingMessage,
    outcome: 'rejected' | 'otherEndpoint',
    { status, atFault }: AnswerFacts,
  ): void {
    answer.on('error', () => {});
    answer.resume();
    this.fail(outcome, `status ${status}`, atFault);
  }

  private drop(answer: IncomingMessage, failure: Failure, detail: string): void {
    answer.on('error', () => {});
    answer.destroy();
    this.fail(failure, detail);
  }

  private acceptError(fault: NodeJS.ErrnoException): void {
    clearTimeout(this.connectTimer);
    const isNoAnswer = fault.code?.startsWith('HPE_') === true;
    if (!this.mayHaveLeft) this.fail('notSent', fault.message);
    // An answer that ends with its connection would look complete after a reset.
    else if (this.relay !== undefined) this.relay.fail('broken', fault.message);
    else this.fail(isNoAnswer ? 'invalid' : 'broken', fault.message);
  }

  private fail(failure: Failure, detail: string, atFault?: NetworkAddress): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.connectTimer);
    const { attemptId } = this.options.start;
    this.options.dispatch({ kind: 'attempt.failed', attemptId, failure, detail, atFault });
  }
}
