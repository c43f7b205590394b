import type { ClientRequest } from 'node:http';
import type { ConnectionWatch } from './watch-connection.js';

/**
 * Sends a request once its socket is connected, and only if its deadline has not passed by then: the
 * process may have been paused since the decision. Before that no byte leaves, so that a failure is
 * a proof that the call did not run.
 *
 * @param deadlineMs time of `performance.now()`
 * @param onLate called in place of sending; the request is destroyed
 */
export const sendInTime = (
  call: ClientRequest,
  deadlineMs: number,
  body: Buffer | string | undefined,
  onLate: () => void,
): ConnectionWatch => {
  let sent = false;
  // Let go once it is sent: the listeners live as long as the answer.
  let unsent = body;
  const send = (): void => {
    if (call.destroyed) return;
    if (performance.now() >= deadlineMs) {
      onLate();
      call.destroy();
      return;
    }
    sent = true;
    call.end(unsent);
    unsent = undefined;
  };
  call.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', send);
    else send();
  });
  return { mayHaveSent: () => sent };
};
