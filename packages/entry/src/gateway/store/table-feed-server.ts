import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import type { RawData, WebSocket, WebSocketServer } from 'ws';
import type { Containment } from '../../runtime/containment.js';
import {
  computeTableFeedLimits,
  decodeTableFeedMessage,
  encodeTableFeedMessage,
  MAX_TABLE_REQUEST_BYTES,
  TABLE_FEED_PATH,
  type TableFeedContent,
  type TableFeedMessage,
  type TableFeedRequest,
} from './table-feed-messages.js';
import type { TableMirror, TablePosition } from './table-mirror.js';

export interface TableFeedServerOptions {
  readonly mirrors: readonly TableMirror[];
  readonly readClockMs: () => number;
  /** Called for each request of a peer. */
  readonly onAsked: () => void;
  readonly containment: Containment;
}

/** A peer that reads the tables from this entry VM. */
interface Reader {
  readonly socket: WebSocket;
  /** What the peer knows of each table, by what was sent to it; undefined before its first request. */
  positions: Map<string, TablePosition> | undefined;
}

/** A reader that does not take what is sent to it is disconnected at this many bytes. */
const MAX_QUEUED_BYTES = 8_388_608;

const listPositions = ({ positions }: TableFeedRequest): Map<string, TablePosition> =>
  new Map(
    positions.flatMap(({ table, era, version }) =>
      version === undefined ? [] : [[table, { era, version }]],
    ),
  );

/** Connections that may be open at once: more than the entry VMs of a failure domain. */
const MAX_READERS = 512;

const sendTo = ({ socket }: Reader, message: TableFeedMessage): void => {
  if (socket.bufferedAmount > MAX_QUEUED_BYTES) socket.terminate();
  else socket.send(encodeTableFeedMessage(message));
};

/**
 * Passes on to peers what this entry VM reads of the store: an answer to each request, and changes as they
 * come, without a request. It accepts connections only while it has a role in passing on, and it refuses
 * requests while this entry VM does not read the store itself.
 */
export class TableFeedServer {
  private server: Promise<WebSocketServer> | undefined;

  private readonly readers = new Set<Reader>();

  private isServing = false;

  constructor(private readonly options: TableFeedServerOptions) {}

  /** Whether some peers read from this entry VM. */
  get hasReaders(): boolean {
    return [...this.readers].some(({ positions }) => positions !== undefined);
  }

  /** Accepts connections, and answers requests if `isServing`. */
  open(isServing: boolean): void {
    this.isServing = isServing;
    this.server ??= this.createServer();
  }

  /** Closes all connections, and accepts none. */
  close(): void {
    this.isServing = false;
    this.readers.forEach(({ socket }) => socket.terminate());
    this.readers.clear();
    this.withServer('feed.close', (server) => server.close());
    this.server = undefined;
  }

  /** Sends the peers what has changed since what was sent to them before. */
  pushChanges(): void {
    if (!this.isServing) return;
    const { containment } = this.options;
    this.readers.forEach((reader) =>
      containment.run(
        { work: 'feed.push', owner: 'peer' },
        () => this.pushTo(reader),
        () => reader.socket.terminate(),
      ),
    );
  }

  /** Accepts a connection of a peer, or closes it if this entry VM passes nothing on. */
  handleUpgrade(incoming: IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on('error', () => socket.destroy());
    if (this.server === undefined) {
      socket.destroy();
      return;
    }
    this.withServer(
      'feed.accept',
      (server) => server.handleUpgrade(incoming, socket, head, (reader) => this.addReader(reader)),
      () => socket.destroy(),
    );
  }

  private withServer(
    work: string,
    perform: (server: WebSocketServer) => void,
    onFailed?: () => void,
  ): void {
    const { server } = this;
    if (server === undefined) return;
    this.options.containment.settle({ work, owner: 'peer' }, () => server, perform, onFailed);
  }

  /** The library is loaded only by entry VMs that pass on, as it takes a part of the start. */
  // eslint-disable-next-line class-methods-use-this
  private async createServer(): Promise<WebSocketServer> {
    const { WebSocketServer: Server } = await import('ws');
    return new Server({
      noServer: true,
      path: TABLE_FEED_PATH,
      ...computeTableFeedLimits(MAX_TABLE_REQUEST_BYTES),
      perMessageDeflate: false,
    });
  }

  private pushTo(reader: Reader): void {
    if (reader.positions === undefined) return;
    const tables = this.listContents(reader).filter(({ rows }) => rows.length > 0);
    if (tables.length > 0) sendTo(reader, { kind: 'response', tables });
  }

  private addReader(socket: WebSocket): void {
    socket.on('error', () => socket.terminate());
    if (this.readers.size >= MAX_READERS) {
      socket.terminate();
      return;
    }
    const reader: Reader = { socket, positions: undefined };
    this.readers.add(reader);
    socket.on(
      'message',
      this.options.containment.guard(
        { work: 'feed.answer', owner: 'peer' },
        (data: RawData) => this.handleFrame(reader, data),
        () => socket.terminate(),
      ),
    );
    socket.on('close', () => this.readers.delete(reader));
  }

  private handleFrame(reader: Reader, data: RawData): void {
    const message = decodeTableFeedMessage(data as Buffer);
    if (message.err || message.val.kind !== 'request') {
      reader.socket.terminate();
      return;
    }
    this.options.onAsked();
    const { id } = message.val;
    if (!this.isServing || this.options.mirrors.some(({ position }) => position === undefined)) {
      sendTo(reader, { kind: 'refusal', id });
      return;
    }
    const { positions: known = new Map<string, TablePosition>() } = reader;
    reader.positions = new Map([...listPositions(message.val), ...known]);
    sendTo(reader, { kind: 'response', id, tables: this.listContents(reader) });
  }

  /** Lists what the reader lacks of each table, and records it as sent. */
  private listContents(reader: Reader): TableFeedContent[] {
    const nowMs = this.options.readClockMs();
    return this.options.mirrors.flatMap((mirror) => {
      const { table, position, confirmedAtMs } = mirror;
      if (position === undefined || confirmedAtMs === undefined) return [];
      const { kind, rows } = mirror.readSince(reader.positions?.get(table));
      reader.positions?.set(table, position);
      return [{ table, kind, ...position, ageMs: nowMs - confirmedAtMs, rows: [...rows] }];
    });
  }
}
