import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Tracks, for each connection, the requests whose responses have not been sent completely. */
export class OpenRequests {
  /** Unfinished responses by connection. */
  private readonly responsesBySocket = new WeakMap<Duplex, Set<ServerResponse>>();

  private openCount = 0;

  private idleListener: (() => void) | undefined;

  add(response: ServerResponse): void {
    const { socket } = response.req;
    const responses = this.responsesBySocket.get(socket) ?? new Set();
    this.responsesBySocket.set(socket, responses.add(response));
    this.openCount += 1;
    response.on('close', () => {
      responses.delete(response);
      this.openCount -= 1;
      this.reportIdle();
    });
  }

  /**
   * Checks that an error response on a connection can only be attributed to the request that is still
   * being read. While a complete request waits for its response, the caller would take the error for
   * that response and believe that the request did not run.
   */
  maySendError(socket: Duplex): boolean {
    const responses = [...(this.responsesBySocket.get(socket) ?? [])];
    return responses.every(({ req, headersSent }) => !req.complete && !headersSent);
  }

  /** Calls the listener once all responses have been handed to the operating system. */
  waitIdle(listener: () => void): void {
    this.idleListener = listener;
    this.reportIdle();
  }

  private reportIdle(): void {
    if (this.openCount > 0) return;
    const listener = this.idleListener;
    this.idleListener = undefined;
    listener?.();
  }
}
