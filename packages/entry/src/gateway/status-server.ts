import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { CallerConnection } from './callers/caller-connection.js';
import { ParsingTurns } from './callers/parsing-turns.js';

/** Most open connections; those who ask for the state of a VM are few. Beyond it the oldest is closed. */
const MAX_CONNECTIONS = 64;

/** Largest request head, in bytes. */
const MAX_HEAD_BYTES = 8_192;

/** Longest time for a request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 5_000;

const HTTP_EXPECTATION_FAILED = 417;

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

const openConnection = (socket: Socket, turns: ParsingTurns): CallerConnection =>
  new CallerConnection({
    socket,
    turns,
    mayHalfClose: true,
    isStopping: () => false,
    isClosing: () => false,
    onInputHeld: () => {},
  });

/**
 * Creates an HTTP server that tells the state of this VM. Whoever asks must not cost the requests of callers
 * their time: a connection has one request at a time, and one that sends more of them without waiting, or a
 * body, is closed after its response. What it sends behind that request is not parsed: each chunk of a body
 * would take a call. Connections that are kept open keep nobody else out.
 *
 * @param respond ends the response before it returns
 * @example
 * const server = createStatusServer((incoming, outgoing) => outgoing.writeHead(200).end());
 */
export const createStatusServer = (
  respond: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
): Server => {
  /** In the order in which they were opened. */
  const connections = new Map<Socket, CallerConnection>();
  const turns = new ParsingTurns();
  const openRequest = (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    const connection = connections.get(incoming.socket);
    connection?.openNext(incoming, outgoing);
    if (connection?.hasInputBehind || hasBody(incoming)) connection?.cutInput();
    outgoing.on('close', () => connection?.finishOpen(outgoing));
  };
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    (incoming, outgoing) => {
      openRequest(incoming, outgoing);
      respond(incoming, outgoing);
    },
  );
  server.on('checkExpectation', (incoming: IncomingMessage, outgoing: ServerResponse) => {
    openRequest(incoming, outgoing);
    outgoing.writeHead(HTTP_EXPECTATION_FAILED, { 'Content-Length': '0' }).end();
  });
  server.on('connection', (socket) => {
    connections.set(socket, openConnection(socket, turns));
    socket.on('close', () => connections.delete(socket));
    // A new one asks at once, and one that asks in turn comes again.
    if (connections.size > MAX_CONNECTIONS) [...connections.keys()][0]?.destroy();
  });
  return server;
};
