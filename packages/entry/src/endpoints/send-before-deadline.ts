import type { ClientRequest } from 'node:http';
import type { ConnectionState } from './watch-connection.js';

/**
 * Sends a request once its socket is connected, unless its deadline has passed by then, for example
 * because the process was paused. No byte is sent before that check, so an earlier failure proves that
 * the request did not run.
 *
 * @param deadlineMs on the clock of `performance.now()`
 * @param onExpired called instead of sending if the deadline has passed; the request is destroyed
 */
export const sendBeforeDeadline = (
  call: ClientRequest,
  deadlineMs: number,
  body: Buffer | string | undefined,
  onExpired: () => void,
): ConnectionState => {
  let isSent = false;
  // Cleared after sending: the listeners keep this variable alive until the response ends, and the body
  // must not occupy memory that long.
  let pendingBody = body;
  const send = (): void => {
    if (call.destroyed) return;
    if (performance.now() >= deadlineMs) {
      onExpired();
      call.destroy();
      return;
    }
    isSent = true;
    call.end(pendingBody);
    pendingBody = undefined;
  };
  call.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', send);
    else send();
  });
  return { mayHaveSent: () => isSent };
};
