import type { ClientRequest } from 'node:http';

/** Tells whether bytes of a request may have left this process. */
export interface ConnectionWatch {
  mayHaveSent(): boolean;
}

/** Watches a request's socket; before it is connected nothing can have been sent. */
export const watchConnection = (request: ClientRequest): ConnectionWatch => {
  let connected = false;
  request.on('socket', (socket) => {
    if (!socket.connecting) {
      connected = true;
      return;
    }
    socket.once('connect', () => {
      connected = true;
    });
  });
  return { mayHaveSent: () => connected };
};
