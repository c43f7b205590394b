import { createServer } from 'node:net';

/** Ports below those that the system gives to outgoing connections and to port 0. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

const given = new Set<number>();

const findFreePort = async (): Promise<number> => {
  const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
  if (given.has(port) || !(await isFree(port))) return findFreePort();
  given.add(port);
  return port;
};

/** Finds ports of the loopback address that are free; this process is given each one once. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort());
  return ports;
};
