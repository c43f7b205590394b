import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles a request; `parameter` is the part of the path that a wildcard route matches. */
export type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  parameter: string,
) => void | Promise<void>;

/** Handlers by "METHOD /path"; "/*" at the end of a key matches one path segment of any value. */
export type Routes = Readonly<Record<string, RouteHandler>>;

export interface RunningServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Reads the complete body of a request as UTF-8 text. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
};

const findRoute = (routes: Routes, method: string, path: string): [RouteHandler, string] | null => {
  const exactHandler = routes[`${method} ${path}`];
  if (exactHandler !== undefined) return [exactHandler, ''];
  const separator = path.lastIndexOf('/');
  const wildcardHandler = routes[`${method} ${path.slice(0, separator)}/*`];
  return wildcardHandler === undefined
    ? null
    : [wildcardHandler, decodeURIComponent(path.slice(separator + 1))];
};

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/**
 * Starts an HTTP server on the loopback address; port 0 selects a free port. If the promise of a
 * handler is rejected before a response head was sent, the response has status 400.
 */
export const startRouteServer = (routes: Routes, port: number): Promise<RunningServer> =>
  new Promise((resolve, reject) => {
    const server = createServer((request, response) => {
      const { pathname } = new URL(request.url ?? '/', 'http://stand-in');
      const match = findRoute(routes, request.method ?? 'GET', pathname);
      if (match === null) {
        sendJson(response, 404, { error: 'unknown route' });
        return;
      }
      const [handler, parameter] = match;
      Promise.resolve(handler(request, response, parameter)).catch((error: unknown) => {
        if (!response.headersSent) sendJson(response, 400, { error: String(error) });
      });
    });
    server.on('error', reject);
    server.listen(port, '127.0.0.1', () => {
      const address = server.address() as AddressInfo;
      resolve({ port: address.port, close: () => closeServer(server) });
    });
  });
