import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { GatewayAttemptFailure, GatewayEvent } from '@savorywind/decisions';
import type { Containment } from '../../runtime/containment.js';
import type { CallerExchange } from '../callers/caller-exchange.js';
import { findResponseHeadFault } from '../../http/find-response-head-fault.js';
import type { DispatchGatewayEvent, AttemptForward, AttemptStart } from '../types.js';
import type { AttemptTarget, ResponseRejection } from './attempt-target.js';
import { ParsingTurns } from '../callers/parsing-turns.js';
import type { GatewayRoom } from '../memory/gateway-room.js';
import { ResponseRelay } from './response-relay.js';
import { dropBody } from './drop-body.js';
import { isLocalError } from './local-errors.js';
import { FramingLimit } from './framing-limit.js';
import { ResponseInput } from './response-input.js';

const HTTP_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';

export interface OutgoingAttemptOptions {
  readonly start: Pick<
    AttemptStart | AttemptForward,
    'attemptId' | 'connectTimeoutMs' | 'delivery' | 'lastEventId'
  >;
  readonly target: AttemptTarget;
  readonly exchange: CallerExchange;
  readonly dispatch: DispatchGatewayEvent;
  readonly containment: Containment;
  /** Room for what is buffered of the response; nothing is counted if this is missing. */
  readonly room?: GatewayRoom;
}

type FailureDetails = Pick<
  Extract<GatewayEvent, { readonly kind: 'attempt.failed' }>,
  'atFault' | 'refusal'
>;

/**
 * One attempt to have a request served by an endpoint or through a peer, from connecting to the end of the
 * response.
 */
export class OutgoingAttempt {
  private readonly outgoing: ClientRequest;

  /** Whether bytes of the request may have been sent. */
  private mayHaveSent = false;

  private connectTimer: NodeJS.Timeout | undefined;

  private relay: ResponseRelay | undefined;

  private input: ResponseInput | undefined;

  private readonly framing = new FramingLimit((detail) => this.failResponse('invalid', detail));

  private isEnded = false;

  constructor(private readonly options: OutgoingAttemptOptions) {
    this.outgoing = this.createRequest();
    this.outgoing.on(
      'socket',
      this.guard('attempt.socket', (socket) => this.handleSocket(socket)),
    );
    this.outgoing.on(
      'response',
      this.guard('attempt.response', (response) => this.handleResponse(response)),
    );
    this.outgoing.on('error', (error: NodeJS.ErrnoException) => this.handleError(error));
    this.outgoing.on('close', () => this.stopReading());
    // Without this listener, Node closes the connection and reports nothing.
    this.outgoing.on('upgrade', () => {
      this.stopReading();
      this.failResponse('invalid', 'endpoint switched protocols');
    });
    try {
      this.outgoing.end(options.exchange.body.length > 0 ? options.exchange.body : undefined);
    } catch (error) {
      // A connection is taken into use only later, so that nothing was sent.
      this.isEnded = true;
      this.outgoing.destroy();
      throw error;
    }
  }

  /** Forwards the response to the caller, from its head on. */
  startForwarding(): void {
    this.relay?.startForwarding();
  }

  /** Fails the attempt unless bytes of the request may have been sent. */
  withdraw(): void {
    if (this.mayHaveSent) return;
    this.fail('withdrawn', 'requests are no longer sent there');
    this.outgoing.destroy();
  }

  /** Closes the connection. No further events are dispatched. */
  cancel(): void {
    this.isEnded = true;
    clearTimeout(this.connectTimer);
    this.stopReading();
    this.relay?.cancel();
    this.outgoing.destroy();
  }

  /** Wraps a listener so that what it throws fails this attempt. */
  private guard<Value>(work: string, listener: (value: Value) => void): (value: Value) => void {
    const { containment, start } = this.options;
    return containment.guard(
      { work, owner: 'attempt', ownerId: start.attemptId },
      listener,
      (detail) => this.failResponse(this.mayHaveSent ? 'broken' : 'notSent', detail),
    );
  }

  private stopReading(): void {
    this.framing.stop();
    this.input?.stop();
  }

  private createRequest(): ClientRequest {
    const { exchange, target } = this.options;
    return request({
      host: target.address.host,
      port: target.address.port,
      method: exchange.method,
      path: exchange.url,
      headers: target.headers,
      agent: target.agent,
      setHost: false,
    });
  }

  private handleSocket(socket: Socket): void {
    const { room } = this.options;
    this.input = new ResponseInput({
      socket,
      turns: room?.responseTurns ?? new ParsingTurns(),
      memory: room?.unparsed,
      onParsed: (bytes) => this.framing.add(bytes),
    });
    if (!socket.connecting) {
      // A socket that could not be created, or has just closed, gets no byte of the request.
      this.mayHaveSent = !socket.destroyed;
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
    const { target, exchange, start, dispatch, room } = this.options;
    this.framing.attach(response);
    this.input?.attach(response);
    // Nothing of a head that is spoiled in one place is believed in another.
    const fault = findResponseHeadFault(response);
    if (fault !== undefined) {
      this.drop(response, 'invalid', fault);
      return;
    }
    const read = target.readResponse(response, this.outgoing.reusedSocket);
    if (read.kind === 'mismatch') {
      this.drop(response, 'invalid', read.detail);
      return;
    }
    if (!this.isEnded) read.notices.forEach((notice) => dispatch(notice));
    if (read.kind === 'rejection') {
      this.handleRejection(response, read);
      return;
    }
    const type = response.headers['content-type'] ?? '';
    const deliversEvents =
      start.delivery === 'events' &&
      response.statusCode === HTTP_OK &&
      type.startsWith(EVENT_STREAM_TYPE);
    const { attemptId, lastEventId } = start;
    const { metadata } = read;
    const guard = <V>(work: string, listener: (value: V) => void): ((value: V) => void) =>
      this.guard(work, listener);
    this.relay = new ResponseRelay(
      { attemptId, response, metadata, exchange, dispatch, lastEventId, guard, room },
      deliversEvents,
    );
  }

  /** Fails the attempt. The connection is reused if the body ends soon. */
  private handleRejection(
    response: IncomingMessage,
    { failure, detail, atFault, refusal }: ResponseRejection,
  ): void {
    dropBody(response);
    this.fail(failure, detail, { atFault, refusal });
  }

  private drop(response: IncomingMessage, failure: GatewayAttemptFailure, detail: string): void {
    response.on('error', () => {});
    this.stopReading();
    response.destroy();
    this.fail(failure, detail);
  }

  private handleError(error: NodeJS.ErrnoException): void {
    clearTimeout(this.connectTimer);
    this.stopReading();
    const isParseError = error.code?.startsWith('HPE_') === true;
    if (!this.mayHaveSent) this.failUnsent(error);
    // Without this report, a response without a length would look complete after a reset.
    else if (this.relay?.isComplete !== true)
      this.failResponse(isParseError ? 'invalid' : 'broken', error.message);
  }

  /** Nothing was sent; for want of resources of this VM, the endpoint is not to blame. */
  private failUnsent(error: NodeJS.ErrnoException): void {
    if (!isLocalError(error)) {
      this.fail('notSent', error.message);
      return;
    }
    this.options.room?.recordRefusal('descriptors');
    this.fail('noResources', error.message);
  }

  /** Closes the connection, also if the attempt has already failed. */
  private failResponse(failure: 'notSent' | 'broken' | 'invalid', detail: string): void {
    if (this.relay !== undefined && failure !== 'notSent') this.relay.fail(failure, detail);
    else this.fail(failure, detail);
    this.stopReading();
    this.outgoing.destroy();
  }

  private fail(failure: GatewayAttemptFailure, detail: string, details?: FailureDetails): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.connectTimer);
    const { attemptId } = this.options.start;
    this.options.dispatch({ kind: 'attempt.failed', attemptId, failure, detail, ...details });
  }
}
