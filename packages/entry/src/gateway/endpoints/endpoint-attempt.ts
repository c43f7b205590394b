import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { NetworkAddress } from '@savorywind/model';
import type { CallerExchange } from '../callers/caller-exchange.js';
import type {
  ResponseMetadata,
  DispatchGatewayEvent,
  GatewayWire,
  AttemptStart,
} from '../types.js';
import { reportNotice } from './report-notice.js';
import { ResponseRelay } from './response-relay.js';
import type { ConnectionPools } from './connection-pools.js';
import { dropBody } from './drop-body.js';
import { FramingLimit } from './framing-limit.js';

const HTTP_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';

export interface EndpointAttemptOptions {
  readonly start: AttemptStart;
  readonly exchange: CallerExchange;
  readonly pools: ConnectionPools;
  readonly wire: GatewayWire;
  readonly dispatch: DispatchGatewayEvent;
}

type Failure = 'notSent' | 'withdrawn' | 'rejected' | 'otherEndpoint' | 'broken' | 'invalid';

/** One attempt to run a request at an endpoint, from connecting to the end of the response. */
export class EndpointAttempt {
  private readonly outgoing: ClientRequest;

  /** Whether bytes of the request may have been sent. */
  private mayHaveSent = false;

  private connectTimer: NodeJS.Timeout | undefined;

  private relay: ResponseRelay | undefined;

  private framing: FramingLimit | undefined;

  private isEnded = false;

  constructor(private readonly options: EndpointAttemptOptions) {
    this.outgoing = this.createRequest();
    this.outgoing.on('socket', (socket) => this.handleSocket(socket));
    this.outgoing.on('response', (response) => this.handleResponse(response));
    this.outgoing.on('error', (error: NodeJS.ErrnoException) => this.handleError(error));
    this.outgoing.on('close', () => this.framing?.stop());
    // Without this listener, Node closes the connection and reports nothing.
    this.outgoing.on('upgrade', () => this.failResponse('invalid', 'endpoint switched protocols'));
    this.outgoing.end(options.exchange.body.length > 0 ? options.exchange.body : undefined);
  }

  /** Forwards the response to the caller, from its head on. */
  startForwarding(): void {
    this.relay?.startForwarding();
  }

  /** Fails the attempt unless bytes of the request may have been sent. */
  withdraw(): void {
    if (this.mayHaveSent) return;
    this.fail('withdrawn', 'endpoint takes no more requests');
    this.outgoing.destroy();
  }

  /** Closes the connection to the endpoint. No further events are dispatched. */
  cancel(): void {
    this.isEnded = true;
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
        ...exchange.listForwardedHeaders(
          (name) => wire.isForwarded(name),
          start.lastEventId !== undefined,
        ),
        ...wire.buildAttemptHeaders(start),
      ],
      agent: pools.find(endpoint.id, connection),
      setHost: false,
    });
  }

  private handleSocket(socket: Socket): void {
    this.framing = new FramingLimit(socket, (detail) => this.failResponse('invalid', detail));
    if (!socket.connecting) {
      this.mayHaveSent = true;
      return;
    }
    const { connectTimeoutMs } = this.options.start;
    this.connectTimer = setTimeout(() => {
      this.fail('notSent', 'connect timeout exceeded');
      this.outgoing.destroy();
    }, connectTimeoutMs);
    socket.once('connect', () => {
      clearTimeout(this.connectTimer);
      this.mayHaveSent = true;
    });
  }

  private handleResponse(response: IncomingMessage): void {
    const { wire, exchange, start, dispatch } = this.options;
    this.framing?.attach(response);
    const status = response.statusCode ?? 0;
    const metadata = wire.readResponse(status, response.headers);
    const mismatch = this.findMismatch(response, metadata);
    if (mismatch !== undefined) {
      this.drop(response, 'invalid', mismatch);
      return;
    }
    this.reportLimit(metadata);
    this.reportNotice(metadata);
    if (metadata.outcome !== 'answered') {
      this.handleRejection(response, metadata.outcome, metadata);
    } else {
      const type = response.headers['content-type'] ?? '';
      const deliversEvents =
        start.delivery === 'events' && status === HTTP_OK && type.startsWith(EVENT_STREAM_TYPE);
      const { attemptId, lastEventId } = start;
      this.relay = new ResponseRelay(
        { attemptId, response, metadata, exchange, dispatch, lastEventId },
        deliversEvents,
      );
    }
  }

  /** Finds why a response can't be taken for the response to this request. */
  private findMismatch(
    { headers }: IncomingMessage,
    { callerAttempt, outcome }: ResponseMetadata,
  ): string | undefined {
    const { metadata } = this.options.exchange;
    if (headers['content-encoding'] !== undefined) return 'response has a content encoding';
    if (callerAttempt !== undefined && callerAttempt !== metadata.callerAttempt)
      return 'response belongs to another request';
    // It may be late and belong to an earlier request, while the endpoint runs this one.
    const isUnnamed = callerAttempt === undefined && this.outgoing.reusedSocket;
    // The answer to a request without an id can't name it; a rejection then proves nothing.
    if (isUnnamed && (metadata.callerAttempt !== undefined || outcome !== 'answered'))
      return 'response on a reused connection names no request';
    return undefined;
  }

  /** A response of another endpoint at the same address says nothing of this one. */
  private reportLimit({ outcome, requestLimit }: ResponseMetadata): void {
    if (this.isEnded || outcome === 'otherEndpoint') return;
    const { start, dispatch } = this.options;
    dispatch({ kind: 'attempt.limitReported', attemptId: start.attemptId, limit: requestLimit });
  }

  private reportNotice({ outcome, notice }: ResponseMetadata): void {
    if (this.isEnded || outcome === 'otherEndpoint') return;
    const { start, dispatch } = this.options;
    reportNotice(start.endpoint, notice, dispatch);
  }

  /** Fails the attempt. The connection is reused if the body ends soon. */
  private handleRejection(
    response: IncomingMessage,
    outcome: 'rejected' | 'otherEndpoint',
    { status, atFault }: ResponseMetadata,
  ): void {
    dropBody(response);
    this.fail(outcome, `status ${status}`, atFault);
  }

  private drop(response: IncomingMessage, failure: Failure, detail: string): void {
    response.on('error', () => {});
    response.destroy();
    this.fail(failure, detail);
  }

  private handleError(error: NodeJS.ErrnoException): void {
    clearTimeout(this.connectTimer);
    const isParseError = error.code?.startsWith('HPE_') === true;
    if (!this.mayHaveSent) this.fail('notSent', error.message);
    // Without this report, a response without a length would look complete after a reset.
    else if (this.relay?.isComplete !== true)
      this.failResponse(isParseError ? 'invalid' : 'broken', error.message);
  }

  /** Closes the connection to the endpoint, also if the attempt has already failed. */
  private failResponse(failure: 'broken' | 'invalid', detail: string): void {
    if (this.relay !== undefined) this.relay.fail(failure, detail);
    else this.fail(failure, detail);
    this.outgoing.destroy();
  }

  private fail(failure: Failure, detail: string, atFault?: NetworkAddress): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.connectTimer);
    const { attemptId } = this.options.start;
    this.options.dispatch({ kind: 'attempt.failed', attemptId, failure, detail, atFault });
  }
}
