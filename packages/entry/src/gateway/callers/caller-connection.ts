import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { GrowingBuffer } from '../endpoints/growing-buffer.js';
import { PARSED_HEAD_BYTES } from '../memory/consts.js';
import { computeTrailerPrice } from '../memory/head-prices.js';
import { HTTP_HEADERS_TOO_LARGE, renderInputRefusal } from './input-refusals.js';
import { MessageEndFinder, type BodyLength } from './message-end-finder.js';
import type { ParsingOrder, ParsingTurns } from './parsing-turns.js';

/**
 * Bytes behind an open request that are kept, in bytes: what arrives at once. Beyond it nothing is read
 * until the request is answered.
 */
const MAX_HELD_BYTES = 65_536;

/** Largest head that is parsed before what others have sent earlier, in bytes. */
const MAX_SMALL_HEAD_BYTES = 4_096;

const HEAD_END = '\r\n\r\n';

/** Largest head, in bytes, with spaces and separators. */
const MAX_HEAD_BYTES = 65_536;

/**
 * Longest time for which a connection stays open after its last response for a caller that still sends, in
 * milliseconds. Closing it earlier resets it, which may discard the response.
 */
export const LINGER_MS = 1_000;

/**
 * A caller whose direction of the connection is closed has left once nothing could be sent to it for this
 * time, in milliseconds. Whether it closed the connection or only its direction shows when something is
 * sent: the bytes look the same. Twice this time is less than the half second within which engines have to
 * stop work for a caller that has left.
 */
const HALF_CLOSED_WAIT_MS = 200;

/** Bytes that were received and not yet given to the parser. */
interface HeldBytes {
  readonly bytes: Buffer;
  readonly receivedAtMs: number;
}

/** The request whose response is not complete. */
interface OpenRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** Whether the connection may go on for all that the caller and others say. */
  mayKeepAlive: boolean;
  /** What the response was last told to say; another value was set elsewhere, and holds. */
  keepsAlive: boolean;
  /** Whether the connection ends with the response; known once all of it is written. */
  isLast: boolean;
}

/** Node destroys the socket of a response with this mark as soon as the response is sent. */
interface MarkedResponse {
  _last?: boolean;
}

/** Trailers are kept by the parser until their message ends, and used by nobody. */
export interface TrailerBound {
  /** Most bytes of the trailers of one request. */
  readonly getMaxBytes: () => number;
  /** Refuses the open request, whose trailers are too large. */
  readonly onExceeded: () => void;
}

export interface CallerConnectionOptions {
  readonly socket: Socket;
  readonly turns: ParsingTurns;
  /** Whether a caller that closes its direction of the connection may wait for responses. */
  readonly mayHalfClose: boolean;
  /** Whether the last response of each connection closes it. */
  readonly isStopping: () => boolean;
  /** Whether no more connections are accepted. */
  readonly isClosing: () => boolean;
  /**
   * Called with the bytes that have arrived of requests that are not open yet, when their number may have
   * changed: an unfinished head, and what follows the open request. What the open request itself takes that is
   * not complete is reported as the second number: what waits to be read, and its trailers by their price.
   */
  readonly onInputHeld: (bytes: number, bodyBytes: number) => void;
  /** Bounds the trailers of a request; without it no body is read. */
  readonly trailers?: TrailerBound;
}

const findBodyLength = ({ headers }: IncomingMessage): BodyLength =>
  headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : 'chunked';

/**
 * The order of one connection. Its parser is given one request at a time: what follows a request, sound or
 * malformed, is interpreted once the response has ended. So nothing that a caller sends behind a request
 * can end that request, and no request is passed on whose response could be cut off by the one before.
 */
export class CallerConnection {
  private readonly socket: Socket;

  private readonly finder = new MessageEndFinder();

  private readonly parse: (bytes: Buffer) => void;

  private readonly parseEnd: () => void;

  private held: HeldBytes[] = [];

  private heldBytes = 0;

  /** Bytes of the head that is not complete. */
  private headBytes = 0;

  /** The part of it that the parser gets only with its end: each field takes much more than its bytes there. */
  private readonly headRest = new GrowingBuffer();

  /** When the last byte arrived of what the parser was given, in milliseconds. */
  private receivedAtMs = 0;

  private open: OpenRequest | undefined;

  private isFeeding = false;

  /** Whether the next part waits for a turn. */
  private isQueued = false;

  /** Whether the next part is the first of what has just arrived. */
  private isFirst = false;

  /** Whether reading was stopped because of the bytes that are held. */
  private hasPaused = false;

  /** Whether bytes have arrived behind an open request since the server is closing. */
  private hasLateInput = false;

  /** Whether bytes were dropped, so that nothing that arrives later can be interpreted. */
  private isCut = false;

  /** Whether another protocol uses the connection. */
  private isDetached = false;

  private hasEnded = false;

  /** Whether the input has ended behind parts that wait for a turn. */
  private isEndHeld = false;

  private halfClosedTimer: NodeJS.Timeout | undefined;

  private lingerTimer: NodeJS.Timeout | undefined;

  private readonly onData = (bytes: Buffer): void => this.handleData(bytes);

  private readonly onEnd = (): void => this.handleEnd();

  private readonly onResume = (): void => this.handleResume();

  private readonly onTurn = (): void => this.handleTurn();

  /** Takes the listeners of the HTTP server off the socket, and calls them for one request at a time. */
  constructor(private readonly options: CallerConnectionOptions) {
    const { socket } = options;
    this.socket = socket;
    const [parse] = socket.listeners('data') as [(bytes: Buffer) => void];
    const parseEnd = socket.listeners('end').at(-1) as () => void;
    socket.off('data', parse);
    socket.off('end', parseEnd);
    this.parse = parse;
    this.parseEnd = parseEnd;
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('resume', this.onResume);
    socket.on('close', () => this.handleClose());
    // Node's own listener is taken off with CONNECT; the socket closes by itself after an error.
    socket.on('error', () => {});
  }

  /** Time for which the request that was just received has waited behind another one, in milliseconds. */
  get heldMs(): number {
    return performance.now() - this.receivedAtMs;
  }

  /** The request that is open on the connection. */
  get openRequest(): Pick<OpenRequest, 'incoming' | 'outgoing'> | undefined {
    return this.open;
  }

  /** Whether the rest of a request that has not arrived completely is dropped. */
  get isInputCut(): boolean {
    return this.isCut;
  }

  /** Whether bytes have arrived behind what the parser was given. */
  get hasInputBehind(): boolean {
    return this.heldBytes > 0;
  }

  /** Whether the last response was sent and the caller may still send. */
  get isLingering(): boolean {
    return this.lingerTimer !== undefined && !this.socket.destroyed;
  }

  /** Whether something that has arrived waits for its turn. */
  get hasInputQueued(): boolean {
    return this.isQueued;
  }

  /** Opens the request that the parser has received. */
  openNext(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const open: OpenRequest = {
      incoming,
      outgoing,
      // The parser reports no malformed bytes behind a request to change the protocol that is not followed.
      mayKeepAlive: outgoing.shouldKeepAlive && incoming.headers.upgrade === undefined,
      keepsAlive: outgoing.shouldKeepAlive,
      isLast: false,
    };
    this.open = open;
    this.headBytes = 0;
    // The connection is ended here instead: it stays open until the caller has read the response.
    const marked = outgoing as MarkedResponse;
    /* eslint-disable no-underscore-dangle -- the name is Node's. */
    outgoing.on('prefinish', () => {
      open.isLast = marked._last === true;
      marked._last = false;
    });
    /* eslint-enable no-underscore-dangle */
    this.finder.startBody(findBodyLength(incoming));
    this.updateKeepAlive();
  }

  /** Goes on with what follows the request whose response has ended. */
  finishOpen(outgoing: ServerResponse): void {
    if (this.open?.outgoing !== outgoing) return;
    const { isLast } = this.open;
    this.open = undefined;
    if (isLast) this.dropInput();
    if (this.hasPaused) {
      this.hasPaused = false;
      this.socket.resume();
    }
    this.feed();
  }

  /** Decides whether the open response says that it is the last one, as long as its head is not sent. */
  updateKeepAlive(): void {
    const { open } = this;
    if (open === undefined || open.outgoing.headersSent) return;
    if (open.outgoing.shouldKeepAlive !== open.keepsAlive) open.mayKeepAlive = false;
    const isLast = this.held.length === 0 && (this.options.isStopping() || this.isCut);
    open.keepsAlive = open.mayKeepAlive && !isLast;
    open.outgoing.shouldKeepAlive = open.keepsAlive;
  }

  /** Makes the open response the last one: nothing is parsed that follows the head of its request. */
  cutInput(): void {
    this.dropInput();
    this.updateKeepAlive();
  }

  /** Refuses input that is no request, and closes the connection. */
  refuseInput(status: number): void {
    this.dropInput();
    this.end(renderInputRefusal(status));
  }

  /** Hands the connection over to another protocol, and returns the bytes that belong to it. */
  detach(): Buffer {
    const { socket } = this;
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('resume', this.onResume);
    this.isDetached = true;
    const bytes = Buffer.concat(this.held.map((part) => part.bytes));
    this.dropInput();
    return bytes;
  }

  /** Whether the open response has told the caller that it is the last one. */
  private get hasSaidClose(): boolean {
    const outgoing = this.open?.outgoing;
    return outgoing !== undefined && outgoing.headersSent && !outgoing.shouldKeepAlive;
  }

  /** Whether the parser may not be given anything: what it read could not be answered now. */
  private get isBlocked(): boolean {
    const { socket } = this;
    // A socket that was paused for what is held is read on once it is parsed.
    const isPaused = socket.isPaused() && !this.hasPaused;
    return this.isWaiting || isPaused || socket.destroyed || !socket.writable;
  }

  /** Whether the open request was read and has no response yet. */
  private get isWaiting(): boolean {
    return this.open?.incoming.complete === true;
  }

  private handleData(bytes: Buffer): void {
    if (this.isWaiting) this.checkInputBehind();
    if (this.isCut) return;
    this.isFirst = this.held.length === 0;
    this.held.push({ bytes, receivedAtMs: performance.now() });
    this.heldBytes += bytes.length;
    this.feed();
    if (this.heldBytes <= MAX_HELD_BYTES) return;
    this.hasPaused = true;
    this.socket.pause();
  }

  /**
   * Decides whether what arrives behind the open request may be interpreted. Once the server is closing,
   * only what arrives next is, so that a caller that never stops sending comes to an end.
   */
  private checkInputBehind(): void {
    const isLate = this.options.isClosing();
    if (this.hasSaidClose || (isLate && this.hasLateInput)) this.isCut = true;
    this.hasLateInput ||= isLate;
  }

  /**
   * Gives the parser what it may be given, in parts; some in a later turn of the event loop.
   *
   * @param hasTurn whether the first part has its turn
   */
  private feed(hasTurn = false): void {
    if (this.isFeeding || this.isQueued) return;
    this.isFeeding = true;
    try {
      if (hasTurn) this.feedPart();
      while (this.mayFeed && !this.isQueued) this.feedNext();
    } finally {
      this.isFeeding = false;
    }
    this.updateKeepAlive();
    this.resumeInput();
    this.endParsed();
    this.endAnswered();
    this.reportHeld();
  }

  private get mayFeed(): boolean {
    return this.held.length > 0 && !this.isBlocked;
  }

  private feedNext(): void {
    // The body of a request that has its turn costs next to nothing.
    if (this.finder.isInBody) {
      this.feedPart();
      return;
    }
    this.isQueued = true;
    this.options.turns.run(this.findOrder(), this.onTurn);
  }

  private findOrder(): ParsingOrder {
    const { bytes } = this.held[0]!;
    const isSmall =
      this.open !== undefined ||
      bytes.length <= MAX_SMALL_HEAD_BYTES ||
      bytes.subarray(0, MAX_SMALL_HEAD_BYTES).includes(HEAD_END);
    return this.isFirst && isSmall ? 'first' : 'rest';
  }

  private handleTurn(): void {
    this.isQueued = false;
    // At once, or in a later turn.
    if (this.isFeeding) this.feedPart();
    else this.feed(true);
  }

  /** Gives the parser the bytes up to the next end of a head or a message. */
  private feedPart(): void {
    if (!this.mayFeed) return;
    const { bytes, receivedAtMs } = this.held.shift()!;
    const isHead = this.finder.isInHead;
    const count = this.finder.countToEnd(bytes);
    this.heldBytes -= count;
    // The rest of a short message goes with its head.
    this.isFirst &&= this.heldBytes <= MAX_SMALL_HEAD_BYTES;
    if (count < bytes.length) this.held.unshift({ bytes: bytes.subarray(count), receivedAtMs });
    this.receivedAtMs = receivedAtMs;
    const part = count < bytes.length ? bytes.subarray(0, count) : bytes;
    if (isHead) this.feedHead(part);
    else this.feedBody(part);
    if (this.isWaiting) this.isFirst = false;
  }

  /**
   * Gives the parser the beginning of a head, from which on the time for the head counts, and the rest with its
   * end.
   */
  private feedHead(bytes: Buffer): void {
    const parsedBytes = Math.max(0, PARSED_HEAD_BYTES - this.headBytes);
    this.headBytes += bytes.length;
    if (this.finder.hasFoundEnd) {
      this.parseHeadRest(bytes);
      return;
    }
    if (parsedBytes > 0) this.parse(bytes.subarray(0, parsedBytes));
    if (this.isCut) return;
    if (this.headBytes > MAX_HEAD_BYTES) this.refuseInput(HTTP_HEADERS_TOO_LARGE);
    else if (bytes.length > parsedBytes) this.headRest.append(bytes.subarray(parsedBytes));
  }

  /** Gives the parser a part of a body, unless it ends with more trailers than it may. */
  private feedBody(part: Buffer): void {
    const { trailers } = this.options;
    if (trailers === undefined || this.finder.trailerBytes <= trailers.getMaxBytes()) {
      this.parse(part);
      return;
    }
    this.dropInput();
    trailers.onExceeded();
  }

  /** Gives the parser what it has not got yet of a head, with the bytes that follow. */
  private parseHeadRest(bytes: Buffer): void {
    if (this.headRest.length === 0) {
      this.parse(bytes);
      return;
    }
    this.headRest.append(bytes);
    this.parse(this.headRest.take());
  }

  /** Node reads on when the reader of a message has taken what it got, whatever is held here. */
  private handleResume(): void {
    if (this.hasPaused) this.socket.pause();
    else this.feed();
  }

  /** Reads on once what is held of the open request is parsed. */
  private resumeInput(): void {
    if (!this.hasPaused || this.isWaiting || this.heldBytes > 0 || this.isDetached) return;
    this.hasPaused = false;
    this.socket.resume();
  }

  /** Ends a connection on which all requests are answered and no other one can follow. */
  private endAnswered(): void {
    if (this.isDetached || this.open !== undefined || this.held.length > 0) return;
    if (this.isCut) this.end();
    else if (this.hasEnded) this.parseEnd();
  }

  /** Acts on the end of the input once what has arrived before it is parsed. */
  private endParsed(): void {
    if (!this.isEndHeld || this.isQueued || this.open === undefined) return;
    this.isEndHeld = false;
    this.finishInput();
  }

  private handleEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isEndHeld = this.isQueued && this.options.mayHalfClose;
    if (!this.isEndHeld) this.finishInput();
  }

  /** Decides what becomes of the open request when nothing more arrives. */
  private finishInput(): void {
    if (this.headRest.length > 0) this.parse(this.headRest.take());
    if (this.isWaiting && this.options.mayHalfClose) this.armHalfClosedTimer();
    else this.parseEnd();
  }

  private armHalfClosedTimer(): void {
    const { bytesWritten } = this.socket;
    this.halfClosedTimer = setTimeout(() => {
      if (this.socket.bytesWritten > bytesWritten) this.armHalfClosedTimer();
      else this.socket.destroy();
    }, HALF_CLOSED_WAIT_MS);
  }

  /** Drops what was received and not interpreted, and all that still arrives. */
  dropInput(): void {
    this.isCut = true;
    this.held = [];
    this.heldBytes = 0;
    this.headBytes = 0;
    this.headRest.take();
    this.reportHeld();
  }

  private reportHeld(): void {
    const { onInputHeld } = this.options;
    // Of a request that is not complete, its body is held; it is bytes and makes nothing else.
    if (this.open === undefined || this.isWaiting) onInputHeld(this.headBytes + this.heldBytes, 0);
    else onInputHeld(0, this.heldBytes + this.computeTrailerPrice());
  }

  /** A connection that is cut is about to close, and its trailers go with it. */
  private computeTrailerPrice(): number {
    return this.isCut ? 0 : computeTrailerPrice(this.finder.trailerBytes);
  }

  /** Sends the last bytes, and closes the connection once the caller has read them and closed, too. */
  private end(bytes = ''): void {
    const { socket } = this;
    if (socket.writable) socket.end(bytes);
    this.lingerTimer ??= setTimeout(() => socket.destroy(), LINGER_MS);
    if (this.hasEnded) socket.destroySoon();
  }

  private handleClose(): void {
    clearTimeout(this.halfClosedTimer);
    clearTimeout(this.lingerTimer);
    this.options.turns.remove(this.onTurn);
    this.dropInput();
  }
}
