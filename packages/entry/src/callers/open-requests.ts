import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Tracks, for each connection, the requests whose responses have not been sent completely. */
export class OpenRequests {
  /** Unfinished responses by connection. */
  private readonly responsesBySocket = new WeakMap<Duplex, Set<ServerResponse>>();

  private openCount = 0;

  private idleListener: (() => void) | undefined;

  add(response: ServerResponse): void {
    const responses = this.findResponses(response.req.socket);
    responses.add(response);
    this.openCount += 1;
    response.on('close', () => {
      if (!responses.delete(response)) return;
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

  /** Finds the set of a connection's unfinished responses, and creates it for the first of them. */
  private findResponses(socket: Duplex): Set<ServerResponse> {
    const known = this.responsesBySocket.get(socket);
    if (known !== undefined) return known;
    const responses = new Set<ServerResponse>();
    this.responsesBySocket.set(socket, responses);
    // Node reports the close only to the response that is being written, not to those queued behind it.
    socket.on('close', () => {
      [...responses]
        .filter((response) => response.socket === null)
        .forEach((response) => response.emit('close'));
    });
    return responses;
  }

  private reportIdle(): void {
    if (this.openCount > 0) return;
    const listener = this.idleListener;
    this.idleListener = undefined;
    listener?.();
  }
}
