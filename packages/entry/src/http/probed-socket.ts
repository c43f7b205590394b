import { Socket, type TcpNetConnectOpts } from 'node:net';

/** An empty line, which a server ignores before a request line (RFC 9112, section 2.2). */
const PROBE = '\r\n';

/** Longest time for which an end is held back, in milliseconds. */
const MAX_HOLD_MS = 1_000;

/**
 * Connection whose end is reported only once it is known that it is not a reset. If the last bytes and a reset
 * arrive together, Node reports an end, as it does for a peer that has finished; a write shows the difference.
 * It is queued behind what is still to be written of the request, and the end is held back until then: Node's
 * HTTP client closes the connection at its end, and nothing is heard of a write that fails later. So a response
 * that ends with its connection is complete if the end is reported, and broken off if an error is.
 *
 * A peer may end its direction, and then neither read on nor reset. Its end is reported after `MAX_HOLD_MS`: a
 * reset would have made the waiting writes fail. Without a byte of a response there is nothing to prove, and the
 * end is reported at once.
 */
export class ProbedSocket extends Socket {
  /** Whether the peer has ended the connection, and the end is held back. */
  private isEnding = false;

  /** Bytes that had been received when the present request took the connection. */
  private bytesBefore = 0;

  /** A request takes the connection: what was received so far belongs to earlier ones. */
  beginRequest(): void {
    this.bytesBefore = this.bytesRead;
  }

  /** A socket whose own direction has ended can't be probed; nobody waits for a response on it. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.writable) return super.push(chunk, encoding);
    if (this.isEnding) return false;
    this.isEnding = true;
    if (this.bytesRead === this.bytesBefore) this.reportEnd();
    else this.holdEnd();
    return false;
  }

  private holdEnd(): void {
    const timer = setTimeout(() => this.reportEnd(), MAX_HOLD_MS);
    this.once('close', () => clearTimeout(timer));
    this.write(PROBE, (error) => {
      clearTimeout(timer);
      if (!error) this.reportEnd();
    });
  }

  private reportEnd(): void {
    super.push(null);
    // Lets a stream from which everything was read report its end.
    this.read(0);
  }
}

/**
 * Opens a connection to a peer, as `connect` of `node:net` does. Its own direction stays open when the peer ends
 * the other one.
 *
 * @example
 * const socket = openProbedSocket({ host: '10.0.0.1', port: 8_000 });
 */
export const openProbedSocket = (options: TcpNetConnectOpts): Socket => {
  const socket = new ProbedSocket({ ...options, allowHalfOpen: true });
  if (options.timeout !== undefined) socket.setTimeout(options.timeout);
  return socket.connect(options);
};
