import type { ClientRequest } from 'node:http';

export interface ConnectionState {
  /** Whether bytes of the request may have left this process. */
  mayHaveSent(): boolean;
}

/** Watches the socket of a request. Nothing can have been sent before it is connected. */
export const watchConnection = (request: ClientRequest): ConnectionState => {
  let isConnected = false;
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      isConnected = true;
      return;
    }
    socket.once('connect', () => {
      isConnected = true;
    });
  });
  return { mayHaveSent: () => isConnected };
};
