import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { renderInputRefusal } from '../callers/input-refusals.js';
import { RequestServer, type RequestServerOptions } from '../callers/request-server.js';
import { ForwardedExchange } from './forwarded-exchange.js';
import { decodeForwarded, forwardingHeaders } from './forwarding-headers.js';

const HTTP_FORBIDDEN = 403;

const STRANGER_DETAIL = 'sender is not registered';

/** Size of the header that describes a forwarded request, with margin, in bytes. */
const FORWARDED_HEAD_BYTES = 8_192;

export interface PeerServerOptions {
  /** Options that it has in common with the server of callers; `address` is that for peers. */
  readonly requestOptions: RequestServerOptions;
  /** Whether a registered entry VM has the address. */
  readonly isPeer: (host: string) => boolean;
  /** Called for each request that is refused because of its sender or because it is malformed. */
  readonly onStrangerRefused: (host: string, detail: string) => void;
  /** Called when a registered entry VM opens a connection for another protocol. */
  readonly onUpgrade: NonNullable<RequestServerOptions['onUpgrade']>;
}

/** Answers a connection of which nothing is read any more, and closes it. */
const refuseConnection = (socket: Socket): void => {
  socket.on('error', () => socket.destroy());
  socket.write(renderInputRefusal(HTTP_FORBIDDEN));
  socket.destroySoon();
};

/**
 * Creates the HTTP server at the address for peers: it takes requests that entry VMs forward and
 * connections by which they read the tables, and refuses those of everybody else.
 *
 * @example
 * const server = createPeerServer({ requestOptions, isPeer, onStrangerRefused, onUpgrade });
 * await server.start();
 */
export const createPeerServer = ({
  requestOptions,
  isPeer,
  onStrangerRefused,
  onUpgrade,
}: PeerServerOptions): RequestServer => {
  const isAllowed = ({ socket, headers }: IncomingMessage): boolean => {
    const { remoteAddress = '' } = socket;
    const forwarded = decodeForwarded(headers[forwardingHeaders.forwarded]);
    const isKnown = isPeer(remoteAddress);
    if (isKnown && forwarded.ok) return true;
    const detail = forwarded.ok ? STRANGER_DETAIL : forwarded.val;
    onStrangerRefused(remoteAddress, detail);
    return false;
  };
  return new RequestServer({
    ...requestOptions,
    side: 'peers',
    idPrefix: 'peer-',
    extraHeadBytes: FORWARDED_HEAD_BYTES,
    isAllowed,
    // An entry VM that forwards a request closes the connection to cancel it, and never one direction.
    isHalfCloseLeaving: true,
    createExchange: (requestId, received, incoming, outgoing) => {
      const forwarded = decodeForwarded(incoming.headers[forwardingHeaders.forwarded]).unwrap();
      return new ForwardedExchange(requestId, received, incoming, outgoing, forwarded);
    },
    onUpgrade: (incoming, socket, head) => {
      const { remoteAddress = '' } = incoming.socket;
      if (isPeer(remoteAddress)) {
        onUpgrade(incoming, socket, head);
        return;
      }
      onStrangerRefused(remoteAddress, STRANGER_DETAIL);
      refuseConnection(incoming.socket);
    },
  });
};
