import { Agent } from 'node:http';
import { connect, type Socket, type TcpNetConnectOpts } from 'node:net';

const resetSockets = new WeakSet<Socket>();

/** An empty line, which a server that still listens passes over (RFC 9112, section 2.2). */
const PROBE = '\r\n';

/**
 * Whether the peer has reset a connection that looks ended. Where the last bytes and the reset come
 * together, the runtime reports the end only; a write tells the difference.
 */
export const hasBeenReset = (socket: Socket): boolean => resetSockets.has(socket);

/** Probes each connection that the peer ends, before whoever reads it hears of the end. */
export class ProbingAgent extends Agent {
  // eslint-disable-next-line class-methods-use-this
  override createConnection(options: TcpNetConnectOpts): Socket {
    const socket = connect({ ...options, allowHalfOpen: true });
    socket.once('error', () => resetSockets.add(socket));
    socket.once('end', () => {
      socket.write(PROBE, (fault) => {
        if (fault) resetSockets.add(socket);
      });
      setImmediate(() => socket.end());
    });
    return socket;
  }
}
