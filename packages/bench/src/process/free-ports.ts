import { createServer } from 'node:net';

/** The range is below the ephemeral ports that the system assigns to connections and port 0. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

const returnedPorts = new Set<number>();

const findFreePort = async (): Promise<number> => {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  if (returnedPorts.has(port) || !(await isFree(port))) return findFreePort();
  returnedPorts.add(port);
  return port;
};

/** Finds free ports of the loopback address; never returns a port twice in this process. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort());
  return ports;
};
