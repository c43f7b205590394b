import csp, { type Channel } from 'js-csp';
import type { RawData, WebSocket } from 'ws';
import type { EntryVm, LinkMessage } from '@savorywind/model';
import {
  HELLO_TIMEOUT_MS,
  IDLE_TIMEOUT_MS,
  LINK_PROTOCOL,
  MAX_QUEUED_BYTES,
  MAX_QUEUED_FRAMES,
} from './consts.js';
import { FrameCodec } from './frame-codec.js';
import type {
  ConnectionListener,
  DialDirection,
  LinkEnd,
  LinkHello,
  LinkTraffic,
} from './types.js';

interface ConnectionOptions {
  readonly self: EntryVm;
  readonly direction: DialDirection;
  readonly traffic: LinkTraffic;
  readonly listener: ConnectionListener;
}

/**
 * One WebSocket between two entry VMs. Frames wait in a bounded channel while the peer is slow; one
 * that finds the channel full closes the connection, so a peer never gets a stream with holes.
 */
export class LinkConnection {
  private readonly codec = new FrameCodec();

  private readonly outgoing: Channel<Uint8Array> = csp.chan(csp.buffers.fixed(MAX_QUEUED_FRAMES));

  private readonly helloTimer: NodeJS.Timeout;

  private hello: LinkHello | undefined;

  private queuedBytes = 0;

  private receivedAtMs = performance.now();

  private ended = false;

  constructor(
    private readonly socket: WebSocket,
    private readonly options: ConnectionOptions,
  ) {
    this.helloTimer = setTimeout(() => this.close('silent'), HELLO_TIMEOUT_MS);
    socket.on('message', (data) => this.acceptFrame(data));
    socket.on('close', () => this.close('lost'));
    socket.on('error', () => this.close('lost'));
    this.startWriting();
    this.offer({ protocol: LINK_PROTOCOL, vm: options.self });
  }

  get direction(): DialDirection {
    return this.options.direction;
  }

  send(message: LinkMessage): void {
    this.offer(message);
  }

  closeIfIdle(nowMs: number): void {
    if (nowMs - this.receivedAtMs >= IDLE_TIMEOUT_MS) this.close('idle');
  }

  close(end: LinkEnd): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.helloTimer);
    this.outgoing.close();
    this.socket.terminate();
    this.options.listener.onClosed(end);
  }

  private offer(value: LinkHello | LinkMessage): void {
    if (this.ended) return;
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

  /** @returns a channel that gets its value when the frame has left or the socket has failed */
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

  private acceptFrame(data: RawData): void {
    if (this.ended) return;
    const frame = data as Buffer;
    this.receivedAtMs = performance.now();
    this.options.traffic.receivedFrames += 1;
    this.options.traffic.receivedBytes += frame.byteLength;
    if (this.hello === undefined) this.acceptHello(frame);
    else this.acceptMessage(frame);
  }

  private acceptHello(frame: Uint8Array): void {
    const decoded = this.codec.decodeHello(frame);
    if (decoded.err) {
      this.close('malformed');
      return;
    }
    if (decoded.val.protocol !== LINK_PROTOCOL) {
      this.close('foreign');
      return;
    }
    this.hello = decoded.val;
    clearTimeout(this.helloTimer);
    this.options.listener.onGreeted(decoded.val);
  }

  private acceptMessage(frame: Uint8Array): void {
    const decoded = this.codec.decodeMessage(frame);
    if (decoded.err) this.close('malformed');
    else this.options.listener.onMessage(decoded.val);
  }
}
