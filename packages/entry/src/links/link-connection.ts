import csp, { type Channel } from 'js-csp';
import type { RawData, WebSocket } from 'ws';
import type { EntryVm, LinkMessage } from '@savorywind/model';
import {
  HELLO_TIMEOUT_MS,
  IDLE_TIMEOUT_MS,
  LINK_PROTOCOL_VERSION,
  MAX_QUEUED_BYTES,
  MAX_QUEUED_FRAMES,
} from './consts.js';
import { FrameCodec } from './frame-codec.js';
import type {
  ConnectionListener,
  LinkDirection,
  LinkCloseReason,
  LinkHello,
  LinkTraffic,
} from './types.js';

interface ConnectionOptions {
  readonly self: EntryVm;
  readonly direction: LinkDirection;
  readonly traffic: LinkTraffic;
  readonly listener: ConnectionListener;
}

/**
 * A WebSocket connection between two entry VMs. Frames for a slow peer are queued in a bounded channel.
 * If the channel is full, the connection is closed, so that a peer never receives a stream with gaps.
 */
export class LinkConnection {
  private readonly codec = new FrameCodec();

  private readonly outgoing: Channel<Uint8Array> = csp.chan(csp.buffers.fixed(MAX_QUEUED_FRAMES));

  private readonly helloTimer: NodeJS.Timeout;

  private hello: LinkHello | undefined;

  private queuedBytes = 0;

  private lastReceivedAtMs = performance.now();

  private isClosed = false;

  constructor(
    private readonly socket: WebSocket,
    private readonly options: ConnectionOptions,
  ) {
    this.helloTimer = setTimeout(() => this.close('silent'), HELLO_TIMEOUT_MS);
    socket.on('message', (data) => this.handleFrame(data));
    socket.on('close', () => this.close('lost'));
    socket.on('error', () => this.close('lost'));
    this.startWriting();
    this.enqueue({ protocol: LINK_PROTOCOL_VERSION, vm: options.self });
  }

  get direction(): LinkDirection {
    return this.options.direction;
  }

  send(message: LinkMessage): void {
    this.enqueue(message);
  }

  /** Closes the connection if it has received nothing for the idle timeout. */
  closeIfIdle(nowMs: number): void {
    if (nowMs - this.lastReceivedAtMs >= IDLE_TIMEOUT_MS) this.close('idle');
  }

  close(reason: LinkCloseReason): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.helloTimer);
    this.outgoing.close();
    this.socket.terminate();
    this.options.listener.onClosed(reason);
  }

  private enqueue(value: LinkHello | LinkMessage): void {
    if (this.isClosed) return;
    const frame = this.codec.encode(value);
    this.queuedBytes += frame.byteLength;
    if (this.queuedBytes > MAX_QUEUED_BYTES || !csp.offer(this.outgoing, frame)) {
      this.close('overflow');
    }
  }

  private startWriting(): void {
    const { outgoing } = this;
    const write = (frame: Uint8Array): Channel<true> => this.writeFrame(frame);
    csp.go(function* writeFrames(): Generator<object, void, never> {
      for (;;) {
        const frame: Uint8Array | null = yield csp.take(outgoing);
        if (frame === null) return;
        yield csp.take(write(frame));
      }
    });
  }

  /** @returns a channel that receives a value when the frame has been sent or the socket has failed */
  private writeFrame(frame: Uint8Array): Channel<true> {
    const written: Channel<true> = csp.chan(1);
    const { traffic } = this.options;
    this.socket.send(frame, { binary: true }, () => {
      this.queuedBytes -= frame.byteLength;
      csp.putAsync(written, true);
    });
    traffic.sentFrames += 1;
    traffic.sentBytes += frame.byteLength;
    return written;
  }

  private handleFrame(data: RawData): void {
    if (this.isClosed) return;
    const frame = data as Buffer;
    this.lastReceivedAtMs = performance.now();
    this.options.traffic.receivedFrames += 1;
    this.options.traffic.receivedBytes += frame.byteLength;
    if (this.hello === undefined) this.handleHello(frame);
    else this.handleMessage(frame);
  }

  private handleHello(frame: Uint8Array): void {
    const decoded = this.codec.decodeHello(frame);
    if (decoded.err) {
      this.close('malformed');
      return;
    }
    if (decoded.val.protocol !== LINK_PROTOCOL_VERSION) {
      this.close('foreign');
      return;
    }
    this.hello = decoded.val;
    clearTimeout(this.helloTimer);
    this.options.listener.onHelloReceived(decoded.val);
  }

  private handleMessage(frame: Uint8Array): void {
    const decoded = this.codec.decodeMessage(frame);
    if (decoded.err) this.close('malformed');
    else this.options.listener.onMessageReceived(decoded.val);
  }
}
