import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { nextTick } from 'node:process';
import type { ParsingTurns } from '../callers/parsing-turns.js';
import type { MemoryShare } from '../memory/memory-share.js';
import { keepSocketOpen } from '../../http/probing-agent.js';

/** Largest read that is parsed before what other endpoints have sent earlier, in bytes. */
const MAX_SMALL_READ_BYTES = 1_024;

/** Sizes of the parts of a read that is larger, in bytes: the first part, and the smallest and largest ones. */
const FIRST_PART_BYTES = 1_024;
const MIN_PART_BYTES = 512;
const MAX_PART_BYTES = 16_384;

/** A part that took less is followed by one of twice its size, in milliseconds. */
const CHEAP_PART_MS = 0.25;

/** A part that took more is followed by one of half its size, in milliseconds. */
const EXPENSIVE_PART_MS = 1;

/** How a message in chunks ends, with trailers or without. */
const CHUNKED_END = Buffer.from('\r\n\r\n');

const EVENT_STREAM_TYPE = 'text/event-stream';

/** Whether the rest of a response costs the same however many bytes it has: one call of the parser, one chunk. */
const isBodyCheap = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] === undefined &&
  headers['content-type']?.startsWith(EVENT_STREAM_TYPE) !== true;

export interface ResponseInputOptions {
  readonly socket: Socket;
  readonly turns: ParsingTurns;
  /** Memory for what waits for a turn; nothing is counted if this is undefined. */
  readonly memory: MemoryShare | undefined;
  /** Called after each part that was parsed, with its size in bytes. */
  readonly onParsed: (bytes: number) => void;
}

/**
 * The input of a connection to an endpoint while a response is expected on it. What arrives is parsed in parts,
 * each in a turn that all connections to endpoints share, so that neither the number of responses nor the size of
 * their chunks and events delays others. The size of the next part follows from the time that the one before took,
 * with all that was done with it.
 *
 * The parser's listeners are taken off the socket for this time. A reset leaves nothing to wait for: what was
 * received is parsed at once if a message may end with it, and dropped otherwise, as the rest is lost.
 *
 * @example
 * const input = new ResponseInput({ socket, turns, memory, onParsed });
 * input.attach(response);
 */
export class ResponseInput {
  private readonly parse: (bytes: Buffer) => void;

  private readonly parseEnd: () => void;

  private readonly held: Buffer[] = [];

  private heldBytes = 0;

  private reservedBytes = 0;

  private partBytes = FIRST_PART_BYTES;

  private response: IncomingMessage | undefined;

  private isCheap = false;

  private isFeeding = false;

  /** Whether the next part waits for a turn, or for what the last one sets off at once. */
  private isQueued = false;

  /** Whether the next part is a small read that has just arrived. */
  private isSmall = false;

  /** Whether reading was stopped because of the bytes that are held. */
  private hasPaused = false;

  private hasEnded = false;

  private isStopped = false;

  /** Lets the agent close the socket that has ended, once its last bytes are parsed. */
  private releaseSocket: (() => void) | undefined;

  constructor(private readonly options: ResponseInputOptions) {
    const { socket } = options;
    const parse = socket.listeners('data').at(-1) as (bytes: Buffer) => void;
    const parseEnd = socket.listeners('end').at(-1) as () => void;
    socket.off('data', parse);
    socket.off('end', parseEnd);
    this.parse = parse.bind(socket);
    this.parseEnd = parseEnd.bind(socket);
    socket.on('data', this.onData);
    socket.on('end', this.onEnd);
    socket.on('resume', this.onResume);
    // Before the listeners of the HTTP client, which forget the response.
    socket.prependListener('error', this.onReset);
    socket.prependListener('close', this.onReset);
  }

  /** Follows the response whose head was parsed. */
  attach(response: IncomingMessage): void {
    this.response = response;
    this.isCheap = isBodyCheap(response);
  }

  /** Stops, because the response is complete or the connection is closed. */
  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    const { socket, turns } = this.options;
    socket.off('data', this.onData);
    socket.off('end', this.onEnd);
    socket.off('resume', this.onResume);
    socket.off('error', this.onReset);
    socket.off('close', this.onReset);
    turns.remove(this.onTurn);
    // What follows a complete response belongs to no request.
    if (this.heldBytes > 0) socket.destroy();
    else if (this.hasPaused) socket.resume();
    this.dropHeld();
    this.releaseSocket?.();
  }

  private readonly onData = (bytes: Buffer): void => {
    if (this.heldBytes === 0) {
      this.isSmall = bytes.length <= MAX_SMALL_READ_BYTES;
      if (this.mayParseNow) {
        this.parsePart(bytes);
        return;
      }
    } else {
      this.isSmall = false;
    }
    this.held.push(bytes);
    this.heldBytes += bytes.length;
    this.feed();
  };

  private readonly onEnd = (): void => {
    this.hasEnded = true;
    if (this.heldBytes > 0) this.releaseSocket = keepSocketOpen(this.options.socket);
    else this.parseEnd();
  };

  /** The HTTP client reads on when the reader of the response has taken what it got, whatever is held here. */
  private readonly onResume = (): void => {
    if (this.hasPaused) this.options.socket.pause();
    this.feed();
  };

  private readonly onTurn = (): void => {
    this.isQueued = false;
    if (this.mayFeed) this.feedPart();
    else this.updateHold();
  };

  private readonly onReset = (): void => {
    if (this.heldBytes === 0) return;
    if (this.mayEndWithHeld) this.parseAll();
    else this.dropHeld();
  };

  /** Whether the response may be complete with what is held, and somebody still waits for it. */
  private get mayEndWithHeld(): boolean {
    if (this.response?.destroyed === true) return false;
    const end = this.held.at(-1)!.subarray(-CHUNKED_END.length);
    return this.isCheap || end.equals(CHUNKED_END);
  }

  /** Whether the reader of the response, or the parser, can take nothing now. */
  private get isBlocked(): boolean {
    const { socket } = this.options;
    if (this.response?.isPaused() === true) return true;
    return socket.destroyed || (socket.isPaused() && !this.hasPaused);
  }

  /** Whether what has just arrived, with nothing held before it, is parsed without further ado. */
  private get mayParseNow(): boolean {
    if (this.isQueued || this.isFeeding || this.isBlocked) return false;
    return this.isCheap || (this.isSmall && this.options.turns.mayRunNow('first'));
  }

  private get mayFeed(): boolean {
    return this.heldBytes > 0 && !this.isStopped && !this.isBlocked;
  }

  /** Has the next part parsed, at once or in its turn. */
  private feed(): void {
    if (this.isFeeding || this.isQueued || this.isStopped) return;
    if (!this.mayFeed) {
      this.updateHold();
      return;
    }
    if (this.isCheap) {
      this.feedPart();
      return;
    }
    this.isQueued = true;
    this.options.turns.run(this.isSmall ? 'first' : 'rest', this.onTurn);
    if (this.isQueued) this.updateHold();
  }

  private feedPart(): void {
    const part = this.takePart();
    const startedAtMs = this.heldBytes > 0 ? performance.now() : 0;
    this.isFeeding = true;
    try {
      this.parsePart(part);
    } finally {
      this.isFeeding = false;
    }
    if (this.heldBytes > 0) this.scheduleRest(part.length, startedAtMs);
    else this.updateHold();
  }

  /** Goes on when the listeners of the response have handled the part. */
  private scheduleRest(partBytes: number, startedAtMs: number): void {
    const goOn = (): void => {
      this.isQueued = false;
      this.updatePartBytes(partBytes, performance.now() - startedAtMs);
      this.feed();
    };
    this.isQueued = true;
    nextTick(goOn);
  }

  /** Lets the time that a part took decide about the size of the next one. */
  private updatePartBytes(partBytes: number, tookMs: number): void {
    if (tookMs > EXPENSIVE_PART_MS)
      this.partBytes = Math.max(MIN_PART_BYTES, Math.floor(partBytes / 2));
    else if (tookMs < CHEAP_PART_MS) this.partBytes = Math.min(MAX_PART_BYTES, 2 * partBytes);
  }

  /** Takes one part; all that was read at once where it costs next to nothing. */
  private takePart(): Buffer {
    const bytes = this.held.shift()!;
    const count = this.isCheap ? bytes.length : Math.min(this.partBytes, bytes.length);
    this.heldBytes -= count;
    if (count === bytes.length) return bytes;
    this.held.unshift(bytes.subarray(count));
    return bytes.subarray(0, count);
  }

  private parsePart(part: Buffer): void {
    this.parse(part);
    this.options.onParsed(part.length);
    if (this.response?.complete === true) this.stop();
  }

  private parseAll(): void {
    const parts = this.held.splice(0);
    this.heldBytes = 0;
    this.reserve(0);
    parts.forEach((part) => {
      if (!this.isStopped) this.parsePart(part);
    });
  }

  /** Reads no more while something waits for its turn. Without memory for it, it does not wait. */
  private updateHold(): void {
    if (this.isStopped) return;
    if (this.heldBytes > 0) {
      this.holdInput();
      return;
    }
    if (this.reservedBytes > 0) this.reserve(0);
    if (this.hasPaused) this.readOn();
    if (this.hasEnded && this.releaseSocket !== undefined) this.finishInput();
  }

  private holdInput(): void {
    if (!this.reserve(this.heldBytes) && !this.isBlocked) {
      this.parseAll();
      this.updateHold();
      return;
    }
    this.hasPaused = true;
    this.options.socket.pause();
  }

  private readOn(): void {
    this.hasPaused = false;
    // A response that is held by its reader lets the socket go on with its own pause.
    if (this.response?.isPaused() !== true) this.options.socket.resume();
  }

  private finishInput(): void {
    this.parseEnd();
    this.stop();
  }

  private dropHeld(): void {
    this.held.length = 0;
    this.heldBytes = 0;
    this.reserve(0);
  }

  /** @returns whether there is memory for so many bytes */
  private reserve(bytes: number): boolean {
    const { memory } = this.options;
    if (memory === undefined) return true;
    if (bytes > this.reservedBytes && !memory.reserve(bytes - this.reservedBytes)) return false;
    if (bytes < this.reservedBytes) memory.release(this.reservedBytes - bytes);
    this.reservedBytes = bytes;
    return true;
  }
}
