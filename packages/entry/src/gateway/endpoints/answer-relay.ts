import type { IncomingMessage } from 'node:http';
import type { CallerExchange } from '../callers/caller-exchange.js';
import type { AnswerFacts, DispatchGatewayEvent } from '../types.js';
import { EventSplitter, type StreamEvent } from './event-splitter.js';
import { hasBeenReset } from './probing-agent.js';

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const isFramed = ({ headers, statusCode }: IncomingMessage): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined ||
  BODILESS_STATUSES.has(statusCode ?? 0);

/** An answer that is longer is passed on as it comes, in bytes. */
const MAX_HELD_BYTES = 262_144;

export interface AnswerRelayOptions {
  readonly attemptId: string;
  readonly answer: IncomingMessage;
  readonly facts: AnswerFacts;
  readonly exchange: CallerExchange;
  readonly dispatch: DispatchGatewayEvent;
}

/**
 * Takes one endpoint's answer in and passes it on to the caller once the decisions say so. Answers
 * are held until they are whole; streams of events until their first event is, and go on event by
 * event.
 */
export class AnswerRelay {
  private readonly splitter: EventSplitter | undefined;

  private held: Buffer[] = [];

  private heldBytes = 0;

  private mayPass = false;

  private headReported = false;

  private ended = false;

  /** Whether the answer waits for its caller to read. */
  private isHeld = false;

  constructor(
    private readonly options: AnswerRelayOptions,
    deliversEvents: boolean,
  ) {
    this.splitter = deliversEvents ? new EventSplitter() : undefined;
    const { answer } = options;
    answer.on('data', (chunk: Buffer) => this.acceptChunk(chunk));
    answer.on('end', () => this.acceptEnd());
    answer.on('error', (fault) => this.fail('broken', fault.message));
    answer.on('close', () => {
      if (!answer.complete) this.fail('broken', 'connection ended before the answer');
    });
  }

  /** The decisions take this answer: its head goes to the caller, and what was held. */
  pass(): void {
    const { exchange, answer } = this.options;
    this.mayPass = true;
    exchange.sendHead(answer, this.splitter === undefined ? this.findWholeLength() : undefined);
    this.held.forEach((chunk) => this.send(chunk));
    this.held = [];
  }

  /** Drops the answer; nothing of it is reported any more. */
  cancel(): void {
    this.ended = true;
    this.options.answer.destroy();
  }

  private findWholeLength(): number | undefined {
    return this.options.answer.complete ? this.heldBytes : undefined;
  }

  private acceptChunk(chunk: Buffer): void {
    if (this.ended) return;
    if (this.splitter === undefined) this.acceptPart(chunk);
    else this.acceptEvents(this.splitter, chunk);
  }

  private acceptPart(chunk: Buffer): void {
    if (this.mayPass) {
      this.send(chunk);
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes > MAX_HELD_BYTES) this.reportHead();
  }

  private acceptEvents(splitter: EventSplitter, chunk: Buffer): void {
    const events = splitter.add(chunk);
    events.forEach((event) => this.acceptEvent(event));
    if (splitter.isTooLong) this.fail('invalid', 'event too long');
  }

  private acceptEvent({ bytes, id }: StreamEvent): void {
    this.reportHead();
    if (this.ended || !this.mayPass) return;
    this.send(bytes);
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.eventPassed', attemptId, eventId: id });
  }

  private reportHead(): void {
    if (this.headReported || this.ended) return;
    this.headReported = true;
    const { attemptId, dispatch, facts } = this.options;
    const { status, hasReceipt } = facts;
    dispatch({ kind: 'attempt.headReceived', attemptId, head: { status, hasReceipt } });
  }

  private acceptEnd(): void {
    const { answer } = this.options;
    if (this.ended) return;
    if (!answer.complete || this.splitter?.hasRest === true) {
      this.fail('broken', 'answer ended early');
      return;
    }
    if (isFramed(answer)) this.complete();
    else setImmediate(() => this.completeUnlessReset());
  }

  /** An answer without a length ends with its connection; a reset is no end. */
  private completeUnlessReset(): void {
    if (hasBeenReset(this.options.answer.socket)) this.fail('broken', 'connection was reset');
    else this.complete();
  }

  private complete(): void {
    this.reportHead();
    if (this.ended) return;
    this.ended = true;
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.ended', attemptId });
  }

  private send(chunk: Buffer): void {
    const { exchange, answer } = this.options;
    if (exchange.send(chunk) || this.isHeld) return;
    this.isHeld = true;
    answer.pause();
    this.reportFlow('held');
    exchange.onceWritable(() => {
      this.isHeld = false;
      answer.resume();
      this.reportFlow('flowing');
    });
  }

  private reportFlow(flow: 'held' | 'flowing'): void {
    if (this.ended) return;
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.flowChanged', attemptId, flow });
  }

  /** The answer ends here, incomplete. */
  fail(failure: 'broken' | 'invalid', detail: string): void {
    if (this.ended) return;
    this.ended = true;
    this.options.answer.destroy();
    const { attemptId, dispatch } = this.options;
    dispatch({ kind: 'attempt.failed', attemptId, failure, detail });
  }
}
