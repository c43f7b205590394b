import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import type { EntryVm, EntryVmId, LinkMessage, NetworkAddress } from '@savorywind/model';
import { estimateBackOffMs } from './back-off.js';
import {
  BACK_OFF_LIMIT_MS,
  DIAL_GRACE_MS,
  HANDSHAKE_TIMEOUT_MS,
  IDLE_CHECK_MS,
  LINK_PATH,
  MAX_FRAME_BYTES,
  MAX_UNGREETED_CONNECTIONS,
} from './consts.js';
import { LinkConnection } from './link-connection.js';
import { isReplacement, type OpenLink } from './link-table.js';
import type { DialDirection, LinkEvent, LinkTraffic } from './types.js';

/** A peer to which the decisions want a link. */
interface WantedLink {
  vm: EntryVm;
  attempts: number;
  dialling: boolean;
  timer: NodeJS.Timeout | undefined;
}

const SOCKET_OPTIONS = { maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false } as const;

const formatUrl = ({ host, port }: NetworkAddress): string =>
  `ws://${host.includes(':') ? `[${host}]` : host}:${port}${LINK_PATH}`;

/**
 * The links of one entry VM: at most one to each peer. The lower id dials; the higher one dials
 * only when nothing came within a grace time, which is the case when the peer can't know of it yet.
 */
export class EntryLinks {
  readonly traffic: LinkTraffic = {
    sentFrames: 0,
    sentBytes: 0,
    receivedFrames: 0,
    receivedBytes: 0,
  };

  private readonly wanted = new Map<EntryVmId, WantedLink>();

  private readonly links = new Map<EntryVmId, OpenLink>();

  private readonly connections = new Set<LinkConnection>();

  private server: WebSocketServer | undefined;

  private idleTimer: NodeJS.Timeout | undefined;

  private stopped = false;

  constructor(
    private readonly self: EntryVm,
    private readonly dispatch: (event: LinkEvent) => void,
  ) {}

  /** @returns the port on which peers are served */
  async start(): Promise<number> {
    const { host, port } = this.self.link;
    const server = new WebSocketServer({ host, port, path: LINK_PATH, ...SOCKET_OPTIONS });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    server.on('connection', (socket, request) => this.acceptSocket(socket, request));
    this.idleTimer = setInterval(() => this.closeIdle(), IDLE_CHECK_MS);
    return (server.address() as AddressInfo).port;
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.idleTimer);
    this.wanted.forEach(({ timer }) => clearTimeout(timer));
    this.wanted.clear();
    this.connections.forEach((connection) => connection.close('requested'));
    this.server?.close();
  }

  open(vm: EntryVm): void {
    const wanted = this.wanted.get(vm.id);
    if (wanted !== undefined) {
      wanted.vm = vm;
      return;
    }
    this.wanted.set(vm.id, { vm, attempts: 0, dialling: false, timer: undefined });
    if (!this.links.has(vm.id)) this.scheduleDial(vm.id, 0);
  }

  close(peer: EntryVmId): void {
    clearTimeout(this.wanted.get(peer)?.timer);
    this.wanted.delete(peer);
    this.links.get(peer)?.connection.close('requested');
  }

  /** Sends on an open link; without one the message is lost, as the seam allows. */
  send(peer: EntryVmId, message: LinkMessage): void {
    this.links.get(peer)?.connection.send(message);
  }

  private scheduleDial(peer: EntryVmId, delayMs: number): void {
    const wanted = this.wanted.get(peer);
    if (wanted === undefined || this.stopped) return;
    const graceMs = this.self.id < peer ? 0 : DIAL_GRACE_MS;
    clearTimeout(wanted.timer);
    wanted.timer = setTimeout(() => this.dial(peer), graceMs + delayMs);
  }

  private scheduleNextDial(peer: EntryVmId): void {
    const wanted = this.wanted.get(peer);
    if (wanted === undefined) return;
    this.scheduleDial(peer, estimateBackOffMs(wanted.attempts, Math.random()));
    wanted.attempts += 1;
  }

  private dial(peer: EntryVmId): void {
    const wanted = this.wanted.get(peer);
    if (wanted === undefined || wanted.dialling || this.links.has(peer)) return;
    wanted.dialling = true;
    const socket = new WebSocket(formatUrl(wanted.vm.link), {
      ...SOCKET_OPTIONS,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    const fail = (): void => this.finishDial(wanted);
    socket.once('error', fail);
    socket.once('open', () => {
      socket.off('error', fail);
      if (this.wanted.get(peer) === wanted) this.addConnection(socket, 'outgoing', wanted);
      else socket.terminate();
    });
  }

  private acceptSocket(socket: WebSocket, request: IncomingMessage): void {
    const ungreeted = this.connections.size - this.links.size;
    if (this.stopped || ungreeted >= MAX_UNGREETED_CONNECTIONS) {
      request.socket.destroy();
      return;
    }
    this.addConnection(socket, 'incoming', undefined);
  }

  private addConnection(
    socket: WebSocket,
    direction: DialDirection,
    dialled: WantedLink | undefined,
  ): void {
    let link: OpenLink | undefined;
    const connection = new LinkConnection(socket, {
      self: this.self,
      direction,
      traffic: this.traffic,
      listener: {
        onGreeted: ({ vm }) => {
          link = { peer: vm, connection, openedAtMs: performance.now() };
          this.acceptLink(link, dialled?.vm.id);
        },
        onMessage: (message) => {
          if (link === undefined || this.links.get(link.peer.id) !== link) return;
          this.dispatch({ kind: 'link.received', peer: link.peer.id, message });
        },
        onClosed: () => {
          this.connections.delete(connection);
          if (link !== undefined) this.dropLink(link);
          if (dialled !== undefined) this.finishDial(dialled);
        },
      },
    });
    this.connections.add(connection);
  }

  private finishDial(wanted: WantedLink): void {
    wanted.dialling = false;
    if (!this.links.has(wanted.vm.id)) this.scheduleNextDial(wanted.vm.id);
  }

  private acceptLink(link: OpenLink, dialled: EntryVmId | undefined): void {
    const { peer, connection } = link;
    const open = this.links.get(peer.id);
    if (peer.id === this.self.id || (dialled !== undefined && dialled !== peer.id)) {
      connection.close('foreign');
      return;
    }
    if (open !== undefined && !isReplacement(this.self.id, open, link)) {
      connection.close('replaced');
      return;
    }
    open?.connection.close('replaced');
    this.links.set(peer.id, link);
    this.dispatch({ kind: 'link.opened', peer: peer.id });
  }

  private dropLink(link: OpenLink): void {
    if (this.links.get(link.peer.id) !== link) return;
    this.links.delete(link.peer.id);
    const wanted = this.wanted.get(link.peer.id);
    const isStable = performance.now() - link.openedAtMs >= BACK_OFF_LIMIT_MS;
    if (wanted !== undefined && isStable) wanted.attempts = 0;
    this.dispatch({ kind: 'link.closed', peer: link.peer.id });
    this.scheduleNextDial(link.peer.id);
  }

  private closeIdle(): void {
    const nowMs = performance.now();
    this.connections.forEach((connection) => connection.closeIfIdle(nowMs));
  }
}
