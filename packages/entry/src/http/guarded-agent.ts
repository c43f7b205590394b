import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

const idleListeners = new WeakMap<Socket, () => void>();

/**
 * HTTP agent that closes an idle connection as soon as the server sends anything on it. What it sends
 * belongs to no request: it may come without end, and the next request would read it as its response.
 */
export class GuardedAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    const close = (): void => {
      this.removeIdle(socket);
      socket.destroy();
    };
    idleListeners.set(socket, close);
    socket.once('data', close);
    socket.resume();
    // The declared type has no result, but Node closes the connection if the result is false.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const close = idleListeners.get(socket);
    if (close !== undefined) socket.off('data', close);
    super.reuseSocket(socket, request);
  }

  /** Node removes a destroyed socket only later, and until then may use it for a request. */
  private removeIdle(socket: Socket): void {
    Object.values(this.freeSockets).forEach((sockets) => {
      const index = sockets?.indexOf(socket) ?? -1;
      if (index >= 0) sockets?.splice(index, 1);
    });
  }
}
