import type { IncomingMessage } from 'node:http';
import { nextTick } from 'node:process';
import type { CallerExchange } from '../callers/caller-exchange.js';
import { READ_BYTES } from '../memory/consts.js';
import type { GatewayRoom } from '../memory/gateway-room.js';
import { ReadingHold } from '../memory/reading-hold.js';
import type { WaitingResponse } from '../memory/slow-readers.js';
import type { ResponseMetadata, DispatchGatewayEvent } from '../types.js';
import { EventOrder } from './event-order.js';
import { EventSplitter, type StreamEvent } from './event-splitter.js';
import { GrowingBuffer } from './growing-buffer.js';
import { JoinedChunks } from './joined-chunks.js';

/** Statuses whose responses never have a body (RFC 9110). */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Only chunks have an end of their own; a body of any other coding ends with its connection. */
const CHUNKED_LAST = /(^|[\s,])chunked\s*$/i;

const hasNoBody = ({ statusCode }: IncomingMessage): boolean =>
  STATUSES_WITHOUT_BODY.has(statusCode ?? 0);

/** Whether the response says where its body ends, so that it does not end with the connection. */
const hasDelimitedBody = (response: IncomingMessage): boolean =>
  response.headers['content-length'] !== undefined ||
  CHUNKED_LAST.test(response.headers['transfer-encoding'] ?? '') ||
  hasNoBody(response);
/**
 * Parts of a response up to this size are joined with those that were read with them, in bytes. Each part that
 * waits for a slow reader takes some hundred bytes besides its content.
 */
const SMALL_PART_BYTES = 1_024;

/** Joined parts are sent from this size on, in bytes. */
const JOINED_BYTES = 16_384;

/** A response that exceeds this size, in bytes, is forwarded before it is complete. */
const MAX_BUFFERED_BYTES = 262_144;

export interface ResponseRelayOptions {
  readonly attemptId: string;
  readonly response: IncomingMessage;
  readonly metadata: ResponseMetadata;
  readonly exchange: CallerExchange;
  readonly dispatch: DispatchGatewayEvent;
  /** Id of the last event that the caller has; undefined if the stream starts from its beginning. */
  readonly lastEventId: string | undefined;
  /** Wraps a listener so that what it throws fails the attempt. */
  readonly guard: <Value>(work: string, listener: (value: Value) => void) => (value: Value) => void;
  /** Room for what is buffered; nothing is counted if this is undefined. */
  readonly room: GatewayRoom | undefined;
}

/**
 * Receives the response of one endpoint and forwards it to the caller once `startForwarding` is
 * called. A response is buffered until it is complete. A stream of server-sent events is reported
 * after its first complete event, and then forwarded event by event.
 */
export class ResponseRelay {
  private readonly splitter: EventSplitter | undefined;

  private readonly order: EventOrder;

  private readonly buffered = new GrowingBuffer();

  private mayForward = false;

  private isHeadReported = false;

  private isEnded = false;

  /** Whether reading from the endpoint is held because the caller reads more slowly. */
  private isPaused = false;

  private readonly hold: ReadingHold;

  /** Small chunks that are joined before they are handled. */
  private readonly received = new JoinedChunks();

  /** Parts that are joined before they are sent. */
  private readonly joined = new JoinedChunks();

  /** Whether what is joined is sent as soon as what was received is handled. */
  private isHandling = false;

  /** Memory that is reserved for what is buffered, in bytes. */
  private reservedBytes = 0;

  /** What counts as a slow reader's while the caller reads more slowly. */
  private readonly waiting: WaitingResponse;

  private readonly onAllReceived: (nothing: undefined) => void;

  constructor(
    private readonly options: ResponseRelayOptions,
    deliversEvents: boolean,
  ) {
    this.splitter = deliversEvents ? new EventSplitter() : undefined;
    const { response, lastEventId, room, exchange } = options;
    this.waiting = { close: () => exchange.disconnect('slowReader') };
    if (room !== undefined) exchange.waitForClose(() => room.readers.remove(this.waiting));
    this.order = new EventOrder(lastEventId);
    this.hold = new ReadingHold(response);
    this.onAllReceived = options.guard('attempt.data', () => this.handleReceived());
    response.on(
      'data',
      options.guard('attempt.data', (chunk: Buffer) => this.receive(chunk)),
    );
    response.on(
      'end',
      options.guard('attempt.end', () => this.handleEnd()),
    );
    response.on('error', (error) => this.fail('broken', error.message));
    response.on('close', () => {
      if (!response.complete)
        this.fail('broken', 'connection closed before the response was complete');
    });
    if (hasNoBody(response)) setImmediate(() => this.finishAtHead());
  }

  /**
   * Whether the whole response was received, although its end may not be reported yet. What the
   * connection receives after it belongs to no request. A response without a length may still turn out
   * to have been reset.
   */
  get isComplete(): boolean {
    const { response } = this.options;
    return hasNoBody(response) || (response.complete && hasDelimitedBody(response));
  }

  /** Sends the head and what was buffered; from now on data is forwarded as it arrives. */
  startForwarding(): void {
    const { exchange, response } = this.options;
    this.mayForward = true;
    exchange.sendHead(response, this.splitter === undefined ? this.findContentLength() : undefined);
    if (this.buffered.length > 0) this.send(this.buffered.take());
  }

  /** Discards the response. No further events are dispatched. */
  cancel(): void {
    this.sendLast();
    this.isEnded = true;
    this.options.response.destroy();
  }

  private findContentLength(): number | undefined {
    const { response } = this.options;
    return response.complete && !hasNoBody(response) ? this.buffered.length : undefined;
  }

  /** Handles a chunk, small ones together when all that was read at once is received. */
  private receive(chunk: Buffer): void {
    if (this.received.length === 0 && chunk.length > SMALL_PART_BYTES) {
      this.handleChunk(chunk);
      return;
    }
    if (this.received.length === 0) nextTick(this.onAllReceived, undefined);
    this.received.append(chunk);
  }

  private handleReceived(): void {
    if (this.received.length === 0) return;
    this.isHandling = true;
    try {
      this.handleChunk(this.received.take());
    } finally {
      this.isHandling = false;
    }
    this.sendJoined();
  }

  private handleChunk(chunk: Buffer): void {
    if (this.isEnded || hasNoBody(this.options.response)) return;
    if (this.splitter === undefined) this.handleBodyChunk(chunk);
    else this.handleEventChunk(this.splitter, chunk);
  }

  private handleBodyChunk(chunk: Buffer): void {
    if (this.mayForward) {
      this.send(chunk);
      return;
    }
    this.buffered.append(chunk);
    // Without room it is sent on as it arrives.
    if (!this.reserveBuffered() || this.buffered.length > MAX_BUFFERED_BYTES) this.reportHead();
  }

  /** Reserves memory for what is buffered until the response to the caller has ended. */
  private reserveBuffered(): boolean {
    const { exchange, room } = this.options;
    const neededBytes = this.buffered.capacity - this.reservedBytes;
    if (room === undefined || neededBytes <= 0) return true;
    if (!room.responses.reserve(neededBytes)) return false;
    if (this.reservedBytes === 0)
      exchange.waitForClose(() => room.responses.release(this.reservedBytes));
    this.reservedBytes += neededBytes;
    return true;
  }

  private handleEventChunk(splitter: EventSplitter, chunk: Buffer): void {
    const events = splitter.add(chunk);
    events.forEach((event) => {
      if (event.hasFields) this.handleEvent(event);
      else this.handleComments(event.bytes);
    });
    if (splitter.isEventTooLong) this.fail('invalid', 'server-sent event exceeds the size limit');
  }

  private handleEvent({ bytes, id }: StreamEvent): void {
    if (!this.order.accept(id)) this.fail('invalid', 'event ids do not increase');
    this.reportHead();
    if (this.isEnded || !this.mayForward) return;
    this.send(bytes);
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: id });
  }

  /**
   * Forwards comments and empty lines, but reports no event: they must not make a stream that has
   * stalled look alive. Before the first event they are buffered.
   */
  private handleComments(bytes: Buffer): void {
    if (this.isEnded) return;
    if (this.mayForward) {
      this.send(bytes);
      return;
    }
    this.buffered.append(bytes);
    if (this.buffered.length > MAX_BUFFERED_BYTES)
      this.fail('invalid', `more than ${MAX_BUFFERED_BYTES} bytes before the first event`);
  }

  private reportHead(): void {
    if (this.isHeadReported || this.isEnded) return;
    this.isHeadReported = true;
    const { attemptId, dispatch, metadata, response } = this.options;
    const { status, hasReceipt, servedBy } = metadata;
    const content = this.splitter === undefined ? 'whole' : 'events';
    const isDelimited = hasDelimitedBody(response);
    const head = { status, hasReceipt, content, isDelimited, servedBy } as const;
    dispatch({ kind: 'attempt.headReceived', attemptId, head });
  }

  private handleEnd(): void {
    const { response } = this.options;
    this.handleReceived();
    if (this.isEnded) return;
    if (!response.complete || this.splitter?.hasPartialEvent === true) {
      this.fail('broken', 'response ended before it was complete');
      return;
    }
    this.finish();
  }

  /**
   * A response that can't have a body ends with its head. If it names a length all the same, the parser waits
   * for as many bytes, and the connection can't be used any more.
   */
  private finishAtHead(): void {
    const { response } = this.options;
    if (this.isEnded) return;
    if (!response.complete) response.destroy();
    this.finish();
  }

  private finish(): void {
    this.reportHead();
    if (this.isEnded) return;
    this.sendLast();
    this.isEnded = true;
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.ended', attemptId });
  }

  private send(chunk: Buffer): void {
    if (!this.isPaused && this.joined.length === 0 && chunk.length > SMALL_PART_BYTES) {
      this.handOver(chunk);
      return;
    }
    // Sent when all that was read at once is handled, or when the caller has read what it got before.
    if (this.joined.length === 0 && !this.isHandling) nextTick(() => this.sendJoined());
    this.joined.append(chunk);
    if (!this.isPaused && this.joined.length >= JOINED_BYTES) this.handOver(this.joined.take());
  }

  private sendJoined(): void {
    if (this.isPaused) this.countWaiting();
    else if (this.joined.length > 0) this.handOver(this.joined.take());
  }

  private handOver(bytes: Buffer): void {
    if (this.options.exchange.send(bytes)) return;
    this.isPaused = true;
    this.hold.hold();
    this.reportFlow('held');
    this.waitForDrain();
    this.countWaiting();
  }

  /**
   * Counts what is kept until the caller has read on: the reads that what was sent is part of, one more read
   * that the endpoint's connection may have taken before it was held, and what is joined for later.
   */
  private countWaiting(): void {
    const { exchange, room } = this.options;
    if (exchange.isClosed) return;
    const sentBytes = Math.max(READ_BYTES, exchange.waitingBytes - this.reservedBytes);
    const keptBytes = this.joined.capacity + (this.splitter?.capacity ?? 0);
    room?.readers.set(this.waiting, sentBytes + READ_BYTES + keptBytes);
  }

  private waitForDrain(): void {
    const { exchange } = this.options;
    exchange.waitForDrain(() => {
      if (this.joined.length > 0 && !exchange.send(this.joined.take())) {
        this.waitForDrain();
        return;
      }
      this.isPaused = false;
      this.options.room?.readers.remove(this.waiting);
      this.hold.release();
      this.reportFlow('flowing');
    });
  }

  /** Sends what was read last, also to a caller that reads slowly: nothing follows it. */
  private sendLast(): void {
    const { exchange, room } = this.options;
    if (this.joined.length === 0 || exchange.send(this.joined.take())) return;
    this.countWaiting();
    exchange.waitForDrain(() => room?.readers.remove(this.waiting));
  }

  private reportFlow(flow: 'held' | 'flowing'): void {
    if (this.isEnded) return;
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.flowChanged', attemptId, flow });
  }

  /** Closes the connection to the endpoint and reports the response as incomplete or invalid. */
  fail(failure: 'broken' | 'invalid', detail: string): void {
    this.handleReceived();
    if (this.isEnded) return;
    this.sendLast();
    this.isEnded = true;
    this.options.response.destroy();
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.failed', attemptId, failure, detail });
  }
}
