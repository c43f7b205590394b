import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  parameter: string,
) => void | Promise<void>;

/** Routes by "METHOD /path"; a key that ends in "/*" hands the rest of the path to its handler. */
export type Routes = Readonly<Record<string, RouteHandler>>;

export interface RunningServer {
  readonly port: number;
  close(): Promise<void>;
}

export const readBody = async (request: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString('utf8');
};

export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
};

const findRoute = (routes: Routes, method: string, path: string): [RouteHandler, string] | null => {
  const exact = routes[`${method} ${path}`];
  if (exact !== undefined) return [exact, ''];
  const cut = path.lastIndexOf('/');
  const parent = routes[`${method} ${path.slice(0, cut)}/*`];
  return parent === undefined ? null : [parent, decodeURIComponent(path.slice(cut + 1))];
};

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/** Starts an HTTP server on the loopback address; port 0 picks a free port. */
export const startRouteServer = (routes: Routes, port: number): Promise<RunningServer> =>
  new Promise((resolve, reject) => {
    const server = createServer((request, response) => {
      const { pathname } = new URL(request.url ?? '/', 'http://stand-in');
      const found = findRoute(routes, request.method ?? 'GET', pathname);
      if (found === null) {
        sendJson(response, 404, { error: 'unknown route' });
        return;
      }
      const [handler, parameter] = found;
      Promise.resolve(handler(request, response, parameter)).catch((fault: unknown) => {
        if (!response.headersSent) sendJson(response, 400, { error: String(fault) });
      });
    });
    server.on('error', reject);
    server.listen(port, '127.0.0.1', () => {
      const address = server.address() as AddressInfo;
      resolve({ port: address.port, close: () => closeServer(server) });
    });
  });
