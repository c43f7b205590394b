import { computeRelayedReadMs, type RelayTiming } from '@savorywind/decisions';
import type { GatewayPeer } from '@savorywind/model';
import type { RawData, WebSocket } from 'ws';
import type { Containment } from '../../runtime/containment.js';
import {
  computeTableFeedLimits,
  decodeTableFeedMessage,
  encodeTableFeedMessage,
  MAX_TABLE_FEED_BYTES,
  TABLE_FEED_PATH,
  type TableFeedContent,
  type TableFeedResponse,
} from './table-feed-messages.js';
import type { TableMirror } from './table-mirror.js';

export interface TableFeedClientOptions {
  readonly mirrors: readonly TableMirror[];
  /** Address of this entry VM, by which peers know it; any if this is missing. */
  readonly localHost?: string | undefined;
  /** Age from which what a peer passes on of a table is too old, in milliseconds. */
  readonly maxAgesMs: ReadonlyMap<string, number>;
  readonly timing: RelayTiming;
  readonly readClockMs: () => number;
  /**
   * Called with the rows of one table, and the time at which a read of the store must have been sent to
   * prove the same.
   *
   * @returns an error if the rows can't be used
   */
  readonly onRows: (content: TableFeedContent, requestedAtMs: number) => string | undefined;
  /** Called once for a peer that does not pass on what is needed. It is disconnected. */
  readonly onFailed: (peer: GatewayPeer, detail: string) => void;
  readonly containment: Containment;
}

/** The connection to the peer that passes on what it reads. */
interface Session {
  readonly peer: GatewayPeer;
  socket: WebSocket | undefined;
  /** Number of the last request. */
  requestId: number;
  askedAtMs: number;
  /** Whether the last request has no answer yet. */
  isWaiting: boolean;
  timer: NodeJS.Timeout | undefined;
  /** Since when what the peer passed on is known to be current; undefined before the first answer. */
  requestedAtMs: number | undefined;
}

/**
 * Reads the tables of the store from a peer that passes them on. It asks at intervals, so that each answer
 * proves that the rows are current; changes also come without a question. A peer that does not answer in
 * time, refuses, or passes on something too old fails.
 */
export class TableFeedClient {
  private session: Session | undefined;

  constructor(private readonly options: TableFeedClientOptions) {}

  /** Reads from a peer instead of the current one. */
  connect(peer: GatewayPeer): void {
    this.disconnect();
    const session: Session = {
      peer,
      socket: undefined,
      requestId: 0,
      askedAtMs: this.options.readClockMs(),
      isWaiting: true,
      timer: undefined,
      requestedAtMs: undefined,
    };
    this.session = session;
    this.startTimeout(session);
    this.options.containment.settle(
      { work: 'feed.open', owner: 'peer', ownerId: peer.id },
      () => this.open(session),
      () => {},
      (detail) => this.fail(session, detail),
    );
  }

  disconnect(): void {
    const { session } = this;
    this.session = undefined;
    clearTimeout(session?.timer);
    session?.socket?.terminate();
  }

  private async open(session: Session): Promise<void> {
    const { host, port } = session.peer.address;
    const { WebSocket: Socket } = await import('ws');
    if (this.session !== session) return;
    const socket = new Socket(`ws://${host}:${port}${TABLE_FEED_PATH}`, {
      ...computeTableFeedLimits(MAX_TABLE_FEED_BYTES),
      perMessageDeflate: false,
      localAddress: this.options.localHost,
    });
    session.socket = socket;
    const guard = <Value>(listener: (value: Value) => void): ((value: Value) => void) =>
      this.options.containment.guard(
        { work: 'feed.read', owner: 'peer', ownerId: session.peer.id },
        listener,
        (detail) => this.fail(session, detail),
      );
    socket.on(
      'open',
      guard(() => this.ask(session)),
    );
    socket.on(
      'message',
      guard((data: RawData) => this.handleFrame(session, data)),
    );
    socket.on('error', (error) => this.fail(session, error.message));
    socket.on('close', () => this.fail(session, 'connection closed'));
  }

  private ask(session: Session): void {
    if (this.session !== session) return;
    session.requestId += 1;
    session.askedAtMs = this.options.readClockMs();
    session.isWaiting = true;
    const positions = this.options.mirrors.map(({ table, position }) => ({ table, ...position }));
    const { requestId: id } = session;
    session.socket?.send(encodeTableFeedMessage({ kind: 'request', id, positions }));
    this.startTimeout(session);
  }

  private startTimeout(session: Session): void {
    const { answerTimeoutMs } = this.options.timing;
    clearTimeout(session.timer);
    session.timer = setTimeout(() => {
      this.fail(session, `no answer within ${Math.round(answerTimeoutMs)} ms`);
    }, answerTimeoutMs);
  }

  private handleFrame(session: Session, data: RawData): void {
    if (this.session !== session) return;
    const decoded = decodeTableFeedMessage(data as Buffer);
    if (decoded.err) this.fail(session, decoded.val);
    else if (decoded.val.kind === 'response') this.handleResponse(session, decoded.val);
    else this.fail(session, 'refused');
  }

  private handleResponse(session: Session, { id, tables }: TableFeedResponse): void {
    const isAnswer = session.isWaiting && id === session.requestId;
    if (isAnswer) {
      const { mirrors } = this.options;
      const error =
        tables.length < mirrors.length ? 'tables are missing' : this.acceptAnswer(session, tables);
      if (error !== undefined) this.fail(session, error);
      else this.scheduleRequest(session);
      return;
    }
    // Without a question nothing new is proved, but what has changed since the last answer.
    const { requestedAtMs } = session;
    if (id === undefined && requestedAtMs !== undefined)
      tables.forEach((content) => this.options.onRows(content, requestedAtMs));
  }

  /** @returns an error if the answer can't be used */
  private acceptAnswer(session: Session, tables: readonly TableFeedContent[]): string | undefined {
    const { maxAgesMs } = this.options;
    const { askedAtMs } = session;
    const times = tables.map(({ table, ageMs }) =>
      computeRelayedReadMs({ askedAtMs, ageMs, maxAgeMs: maxAgesMs.get(table) ?? 0 }),
    );
    const errors = tables.map((content, index) => {
      const requestedAtMs = times[index];
      return requestedAtMs === undefined
        ? `${content.table} is ${Math.round(content.ageMs)} ms old`
        : this.options.onRows(content, requestedAtMs);
    });
    session.requestedAtMs = Math.min(...times.map((time) => time ?? Number.POSITIVE_INFINITY));
    return errors.find((error) => error !== undefined);
  }

  private scheduleRequest(session: Session): void {
    session.isWaiting = false;
    clearTimeout(session.timer);
    const elapsedMs = this.options.readClockMs() - session.askedAtMs;
    const pauseMs = Math.max(0, this.options.timing.askIntervalMs - elapsedMs);
    session.timer = setTimeout(() => this.ask(session), pauseMs);
  }

  private fail(session: Session, detail: string): void {
    if (this.session !== session) return;
    this.disconnect();
    this.options.onFailed(session.peer, detail);
  }
}
