import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** The requests of each connection whose answers have not gone out in full. */
export class OpenRequests {
  private readonly open = new WeakMap<Duplex, Set<ServerResponse>>();

  private count = 0;

  private idleListener: (() => void) | undefined;

  add(response: ServerResponse): void {
    const { socket } = response.req;
    const responses = this.open.get(socket) ?? new Set();
    this.open.set(socket, responses.add(response));
    this.count += 1;
    response.on('close', () => {
      responses.delete(response);
      this.count -= 1;
      this.reportIdle();
    });
  }

  /**
   * Tells whether a fault on a connection concerns a request that is still being read. Where a whole
   * request waits for its answer, nothing else may be taken for that answer.
   */
  mayAnswer(socket: Duplex): boolean {
    const responses = [...(this.open.get(socket) ?? [])];
    return responses.every(({ req, headersSent }) => !req.complete && !headersSent);
  }

  /** Calls the listener once, now or later, when every answer has been handed to the system. */
  waitIdle(listener: () => void): void {
    this.idleListener = listener;
    this.reportIdle();
  }

  private reportIdle(): void {
    if (this.count > 0) return;
    const listener = this.idleListener;
    this.idleListener = undefined;
    listener?.();
  }
}
