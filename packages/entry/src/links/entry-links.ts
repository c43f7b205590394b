import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import type { EntryVm, EntryVmId, LinkMessage, NetworkAddress } from '@savorywind/model';
import { drawBackoffMs } from './draw-backoff-ms.js';
import {
  BACKOFF_MAX_MS,
  CONNECT_GRACE_MS,
  HANDSHAKE_TIMEOUT_MS,
  IDLE_CHECK_INTERVAL_MS,
  LINK_PATH,
  MAX_FRAME_BYTES,
  MAX_PENDING_HELLOS,
} from './consts.js';
import { LinkConnection } from './link-connection.js';
import { isReplacement, type OpenLink } from './link-replacement.js';
import type { LinkDirection, LinkEvent, LinkTraffic } from './types.js';

/** A peer to which a link is to be kept open. */
interface LinkTarget {
  vm: EntryVm;
  /** Scheduled reconnections since the last link that stayed open for {@link BACKOFF_MAX_MS}. */
  reconnectCount: number;
  /** Whether an outgoing connection is being opened or is open. */
  hasOutgoingConnection: boolean;
  connectTimer: NodeJS.Timeout | undefined;
}

const SOCKET_OPTIONS = { maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false } as const;

const formatUrl = ({ host, port }: NetworkAddress): string =>
  `ws://${host.includes(':') ? `[${host}]` : host}:${port}${LINK_PATH}`;

/**
 * The links of one entry VM, at most one to each peer. The VM with the lower id connects. The VM with
 * the higher id connects only if no connection arrives within a grace time, which happens while the
 * peer does not know of it yet.
 */
export class EntryLinks {
  readonly traffic: LinkTraffic = {
    sentFrames: 0,
    sentBytes: 0,
    receivedFrames: 0,
    receivedBytes: 0,
  };

  private readonly targets = new Map<EntryVmId, LinkTarget>();

  private readonly openLinks = new Map<EntryVmId, OpenLink>();

  private readonly connections = new Set<LinkConnection>();

  private server: WebSocketServer | undefined;

  private idleTimer: NodeJS.Timeout | undefined;

  private stopped = false;

  constructor(
    private readonly self: EntryVm,
    private readonly dispatch: (event: LinkEvent) => void,
  ) {}

  /** @returns the port on which connections of peers are accepted */
  async start(): Promise<number> {
    const { host, port } = this.self.link;
    const server = new WebSocketServer({ host, port, path: LINK_PATH, ...SOCKET_OPTIONS });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    server.on('connection', (socket, request) => this.handleSocket(socket, request));
    this.idleTimer = setInterval(() => this.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
    return (server.address() as AddressInfo).port;
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.idleTimer);
    this.targets.forEach(({ connectTimer }) => clearTimeout(connectTimer));
    this.targets.clear();
    this.connections.forEach((connection) => connection.close('requested'));
    this.server?.close();
  }

  /** Keeps a link to a peer open, reconnecting until {@link close} is called. */
  open(vm: EntryVm): void {
    const target = this.targets.get(vm.id);
    if (target !== undefined) {
      target.vm = vm;
      return;
    }
    this.targets.set(vm.id, {
      vm,
      reconnectCount: 0,
      hasOutgoingConnection: false,
      connectTimer: undefined,
    });
    if (!this.openLinks.has(vm.id)) this.scheduleConnect(vm.id, 0);
  }

  close(peer: EntryVmId): void {
    clearTimeout(this.targets.get(peer)?.connectTimer);
    this.targets.delete(peer);
    this.openLinks.get(peer)?.connection.close('requested');
  }

  /** Sends a message on an open link; without one it is dropped, as messages may be lost anyway. */
  send(peer: EntryVmId, message: LinkMessage): void {
    this.openLinks.get(peer)?.connection.send(message);
  }

  private scheduleConnect(peer: EntryVmId, delayMs: number): void {
    const target = this.targets.get(peer);
    if (target === undefined || this.stopped) return;
    const graceMs = this.self.id < peer ? 0 : CONNECT_GRACE_MS;
    clearTimeout(target.connectTimer);
    target.connectTimer = setTimeout(() => this.connect(peer), graceMs + delayMs);
  }

  private scheduleReconnect(peer: EntryVmId): void {
    const target = this.targets.get(peer);
    if (target === undefined) return;
    this.scheduleConnect(peer, drawBackoffMs(target.reconnectCount, Math.random()));
    target.reconnectCount += 1;
  }

  private connect(peer: EntryVmId): void {
    const target = this.targets.get(peer);
    if (target === undefined || target.hasOutgoingConnection || this.openLinks.has(peer)) return;
    target.hasOutgoingConnection = true;
    const socket = new WebSocket(formatUrl(target.vm.link), {
      ...SOCKET_OPTIONS,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    const fail = (): void => this.handleOutgoingEnd(target);
    socket.once('error', fail);
    socket.once('open', () => {
      socket.off('error', fail);
      if (this.targets.get(peer) === target) this.addConnection(socket, 'outgoing', target);
      else socket.terminate();
    });
  }

  private handleSocket(socket: WebSocket, request: IncomingMessage): void {
    const pendingHellos = this.connections.size - this.openLinks.size;
    if (this.stopped || pendingHellos >= MAX_PENDING_HELLOS) {
      request.socket.destroy();
      return;
    }
    this.addConnection(socket, 'incoming', undefined);
  }

  private addConnection(
    socket: WebSocket,
    direction: LinkDirection,
    target: LinkTarget | undefined,
  ): void {
    let link: OpenLink | undefined;
    const connection = new LinkConnection(socket, {
      self: this.self,
      direction,
      traffic: this.traffic,
      listener: {
        onHelloReceived: ({ vm }) => {
          link = { peer: vm, connection, openedAtMs: performance.now() };
          this.addLink(link, target?.vm.id);
        },
        onMessageReceived: (message) => {
          if (link === undefined || this.openLinks.get(link.peer.id) !== link) return;
          this.dispatch({ kind: 'link.received', peer: link.peer.id, message });
        },
        onClosed: () => {
          this.connections.delete(connection);
          if (link !== undefined) this.removeLink(link);
          if (target !== undefined) this.handleOutgoingEnd(target);
        },
      },
    });
    this.connections.add(connection);
  }

  /** Reconnects after an outgoing connection failed or closed, unless another link is open. */
  private handleOutgoingEnd(target: LinkTarget): void {
    target.hasOutgoingConnection = false;
    if (!this.openLinks.has(target.vm.id)) this.scheduleReconnect(target.vm.id);
  }

  private addLink(link: OpenLink, expectedPeer: EntryVmId | undefined): void {
    const { peer, connection } = link;
    const open = this.openLinks.get(peer.id);
    if (peer.id === this.self.id || (expectedPeer !== undefined && expectedPeer !== peer.id)) {
      connection.close('foreign');
      return;
    }
    if (open !== undefined && !isReplacement(this.self.id, open, link)) {
      connection.close('replaced');
      return;
    }
    open?.connection.close('replaced');
    this.openLinks.set(peer.id, link);
    this.dispatch({ kind: 'link.opened', peer: peer.id });
  }

  private removeLink(link: OpenLink): void {
    if (this.openLinks.get(link.peer.id) !== link) return;
    this.openLinks.delete(link.peer.id);
    const target = this.targets.get(link.peer.id);
    const isStable = performance.now() - link.openedAtMs >= BACKOFF_MAX_MS;
    if (target !== undefined && isStable) target.reconnectCount = 0;
    this.dispatch({ kind: 'link.closed', peer: link.peer.id });
    this.scheduleReconnect(link.peer.id);
  }

  private closeIdleConnections(): void {
    const nowMs = performance.now();
    this.connections.forEach((connection) => connection.closeIfIdle(nowMs));
  }
}
