import type { ClientRequest } from 'node:http';
import type { Socket, TcpNetConnectOpts } from 'node:net';
import { GuardedAgent } from './guarded-agent.js';
import { openProbedSocket, ProbedSocket } from './probed-socket.js';

/** Sockets that have ended and stay open, as bytes that they have received are not parsed yet. */
const openSockets = new WeakSet<Socket>();

/**
 * Keeps a socket open that the peer has ended, as bytes that it has received are not parsed yet.
 *
 * @returns lets it be closed
 */
export const keepSocketOpen = (socket: Socket): (() => void) => {
  openSockets.add(socket);
  return () => {
    openSockets.delete(socket);
    socket.end();
  };
};

/**
 * HTTP agent whose connections report an end only if the peer has not reset them; see `openProbedSocket`.
 */
export class ProbingAgent extends GuardedAgent {
  // eslint-disable-next-line class-methods-use-this
  override createConnection(options: TcpNetConnectOpts): Socket {
    const socket = openProbedSocket(options);
    socket.once('end', () => {
      setImmediate(() => {
        if (!openSockets.has(socket)) socket.end();
      });
    });
    return socket;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    if (socket instanceof ProbedSocket) socket.beginRequest();
    super.reuseSocket(socket, request);
  }
}
