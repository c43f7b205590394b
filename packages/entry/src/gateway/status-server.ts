import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Most open connections; those who ask for the state of a VM are few. Beyond it the oldest is closed. */
const MAX_CONNECTIONS = 64;

/** Largest request head, in bytes. */
const MAX_HEAD_BYTES = 8_192;

/** Longest time for a request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Sends what was written, reads nothing more and closes. */
const closeSoon = (socket: Socket): void => {
  socket.pause();
  socket.destroySoon();
};

/**
 * Creates an HTTP server that tells the state of this VM. Whoever asks must not cost the requests of callers
 * their time: a connection has one request at a time, and one that sends more of them without waiting, or a
 * body, is closed after its response. Connections that are kept open keep nobody else out.
 *
 * @param respond ends the response before it returns
 * @example
 * const server = createStatusServer((incoming, outgoing) => outgoing.writeHead(200).end());
 */
export const createStatusServer = (
  respond: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
): Server => {
  const answering = new WeakSet<Socket>();
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    (incoming, outgoing) => {
      const { socket } = incoming;
      if (answering.has(socket)) {
        closeSoon(socket);
        return;
      }
      answering.add(socket);
      outgoing.on('close', () => answering.delete(socket));
      if (hasBody(incoming)) {
        outgoing.shouldKeepAlive = false;
        outgoing.on('finish', () => closeSoon(socket));
      }
      respond(incoming, outgoing);
    },
  );
  const open = new Set<Socket>();
  server.on('connection', (socket) => {
    open.add(socket);
    socket.on('close', () => open.delete(socket));
    // A new one asks at once, and one that asks in turn comes again.
    if (open.size > MAX_CONNECTIONS) [...open][0]?.destroy();
  });
  return server;
};
