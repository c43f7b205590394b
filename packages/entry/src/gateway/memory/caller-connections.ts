import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { computeUnfinishedHeadPrice } from './head-prices.js';
import type { MemoryBudget } from './memory-budget.js';
import type { ShortageReason } from './types.js';

/**
 * New connections that are read first in one turn of the event loop. The parser needs about a millisecond for
 * a large head of small fields, and other requests wait meanwhile.
 */
const FIRST_READS_PER_TURN = 8;

/** `Retry-After` of what is refused for want of room, in seconds. */
const RETRY_AFTER_S = 1;

const NO_ROOM_RESPONSE = `HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: ${RETRY_AFTER_S}\r\nContent-Length: 0\r\n\r\n`;

/** Whose connections are counted together. */
export type ConnectionSide = 'callers' | 'peers';

interface OpenConnection {
  readonly socket: Socket;
  readonly side: ConnectionSide;
  /** Price of what has arrived of requests that are not open yet, in bytes. */
  headPriceBytes: number;
  /** Responses that are not complete, in the order of their requests. */
  readonly responses: Set<ServerResponse>;
  /** Whether it closes after its last response, for want of room for what came behind. */
  isRefused: boolean;
  /** Drops what was received and not interpreted. */
  readonly dropInput: () => void;
}

export interface CallerConnectionsOptions {
  readonly budget: MemoryBudget;
  /** Memory for heads that are not yet complete, in bytes. */
  readonly headBytes: number;
  readonly maxConnections: Readonly<Record<ConnectionSide, number>>;
  readonly onRefused: (reason: ShortageReason) => void;
}

/** Whether the response is for a request that may run; it can't before its body is complete. */
const isOwed = ({ req, headersSent }: ServerResponse): boolean => req.complete || headersSent;

/**
 * Bounds the number of open connections, and the memory of the request heads that they have not finished,
 * for all servers of an entry VM together. Node keeps such a head in its parser, and reports nothing of it
 * until it is complete; the order of the connection knows what it has given to the parser. It says so after each
 * read: thousands of connections are read in one turn of the event loop, so that a timer would come too late.
 *
 * Where heads take too much, those that take most are refused: a head mostly comes in one piece, and a large
 * unfinished one costs as much as hundreds of others.
 *
 * @example
 * const connections = new CallerConnections({ budget, headBytes, maxConnections, onRefused });
 * server.on('connection', (socket) => connections.accept(socket, 'callers'));
 */
export class CallerConnections {
  private readonly open = new Map<Socket, OpenConnection>();

  private readonly counts: Record<ConnectionSide, number> = { callers: 0, peers: 0 };

  /** Price of all unfinished heads, in bytes. */
  private headPriceBytes = 0;

  /** New connections that are not read yet, the oldest first. */
  private readonly unread: Socket[] = [];

  private firstReadsInTurn = 0;

  constructor(private readonly options: CallerConnectionsOptions) {}

  /** Number of open connections of one side. */
  count(side: ConnectionSide): number {
    return this.counts[side];
  }

  /** Memory of all unfinished heads, in bytes. */
  get unfinishedHeadBytes(): number {
    return this.headPriceBytes;
  }

  /**
   * Counts a new connection and begins to read it soon, or answers and closes it if there are too many. It must
   * not be read yet.
   *
   * @param dropInput drops what was received and not interpreted, once it is refused
   */
  accept(socket: Socket, side: ConnectionSide, dropInput = (): void => {}): void {
    if (this.counts[side] >= this.options.maxConnections[side]) {
      this.options.onRefused('connections');
      CallerConnections.answerAndClose(socket);
      return;
    }
    this.counts[side] += 1;
    const connection: OpenConnection = {
      socket,
      side,
      headPriceBytes: 0,
      responses: new Set(),
      isRefused: false,
      dropInput,
    };
    this.open.set(socket, connection);
    socket.on('close', () => this.remove(connection));
    this.unread.push(socket);
    this.readUnread();
  }

  /** Begins to read new connections, as many as one turn of the event loop may. */
  private readUnread(): void {
    while (this.firstReadsInTurn < FIRST_READS_PER_TURN) {
      const socket = this.unread.shift();
      if (socket === undefined) return;
      socket.resume();
      if (this.firstReadsInTurn === 0) setImmediate(() => this.beginTurn());
      this.firstReadsInTurn += 1;
    }
  }

  private beginTurn(): void {
    this.firstReadsInTurn = 0;
    this.readUnread();
  }

  /** Records that a request is open until its response has ended. */
  addRequest({ socket }: IncomingMessage, outgoing: ServerResponse): void {
    const connection = this.open.get(socket);
    if (connection === undefined) return;
    connection.responses.add(outgoing);
    outgoing.on('close', () => CallerConnections.removeResponse(connection, outgoing));
  }

  /**
   * Records how many bytes have arrived of requests of a connection that are not open yet, and of the body of the
   * open one that wait for their turn.
   */
  setHeld(socket: Socket, bytes: number, bodyBytes = 0): void {
    const connection = this.open.get(socket);
    if (connection === undefined) return;
    this.setHeadPrice(connection, computeUnfinishedHeadPrice(bytes) + bodyBytes);
    while (this.headPriceBytes > this.options.headBytes) {
      const largest = this.findLargestHead();
      if (largest === undefined) return;
      this.refuse(largest);
    }
  }

  /** Finds the connection with the largest unfinished head, of those that are not refused already. */
  private findLargestHead(): OpenConnection | undefined {
    let largest: OpenConnection | undefined;
    this.open.forEach((connection) => {
      const { isRefused, headPriceBytes } = connection;
      if (!isRefused && headPriceBytes > (largest?.headPriceBytes ?? 0)) largest = connection;
    });
    return largest;
  }

  private setHeadPrice(connection: OpenConnection, bytes: number): void {
    const addedBytes = bytes - connection.headPriceBytes;
    connection.headPriceBytes = bytes;
    this.headPriceBytes += addedBytes;
    this.options.budget.add(addedBytes);
  }

  private remove(connection: OpenConnection): void {
    if (!this.open.delete(connection.socket)) return;
    this.counts[connection.side] -= 1;
    this.setHeadPrice(connection, 0);
  }

  /** Refuses what a connection sends behind its complete requests. These get their responses first. */
  private refuse(connection: OpenConnection): void {
    const { socket, responses } = connection;
    connection.isRefused = true;
    this.options.onRefused('heads');
    // What is refused must not be counted any more, or small heads would be refused for it.
    connection.dropInput();
    this.setHeadPrice(connection, 0);
    if (![...responses].some(isOwed)) {
      CallerConnections.answerAndClose(socket);
      return;
    }
    socket.pause();
    responses.forEach((outgoing) => {
      if (!outgoing.headersSent) outgoing.shouldKeepAlive = false;
    });
  }

  private static removeResponse(connection: OpenConnection, outgoing: ServerResponse): void {
    connection.responses.delete(outgoing);
    if (connection.isRefused && connection.responses.size === 0) connection.socket.destroySoon();
  }

  private static answerAndClose(socket: Socket): void {
    // No request of the connection waits for a response that this could be taken for.
    socket.write(NO_ROOM_RESPONSE);
    socket.destroySoon();
    // What still arrives is not read any more.
    socket.pause();
  }
}
