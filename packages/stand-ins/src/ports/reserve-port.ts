import { createSocket } from 'node:dgram';
import { createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';

/**
 * First port of the reserved range, which ends before 32768. From there on, Linux assigns ports to
 * outgoing connections and to servers on port 0 by default; these could take a reserved port.
 */
const FIRST_PORT = 20_000;

/**
 * Ports of one block, the unit that a process holds. The first one is the lock of the block. A test file
 * runs in a process of its own and rarely needs more than one block.
 */
const BLOCK_SIZE = 100;

const BLOCK_COUNT = 120;

/** Resolves with undefined if another socket uses the port. */
const listen = (port: number): Promise<Server | undefined> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen({ port, host: HOST, exclusive: true }, () => resolve(server));
  });

const isTcpPortFree = async (port: number): Promise<boolean> => {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
};

const isUdpPortFree = (port: number): Promise<boolean> =>
  new Promise((resolve, reject) => {
    const socket = createSocket('udp4');
    socket.once('error', (error: NodeJS.ErrnoException) => {
      socket.close();
      if (error.code === 'EADDRINUSE') resolve(false);
      else reject(error);
    });
    socket.bind({ port, address: HOST, exclusive: true }, () => socket.close(() => resolve(true)));
  });

const isFree = async (port: number): Promise<boolean> =>
  (await isTcpPortFree(port)) && isUdpPortFree(port);

/** Ports of the blocks held by this process that were not returned yet. */
const remainingPorts: number[] = [];

/**
 * Takes the lock of a block that no other process holds. The lock is a listening socket, so it is held
 * until this process ends, in whichever way, and no longer. It does not keep the process running.
 */
const reserveBlock = async (): Promise<void> => {
  const start = Math.floor(Math.random() * BLOCK_COUNT);
  for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
    const lockPort = FIRST_PORT + ((start + offset) % BLOCK_COUNT) * BLOCK_SIZE;
    const lock = await listen(lockPort);
    if (lock !== undefined) {
      lock.unref();
      for (let index = 1; index < BLOCK_SIZE; index += 1) remainingPorts.push(lockPort + index);
      return;
    }
  }
  throw new Error(`all ${BLOCK_COUNT} blocks of ports are held by running processes`);
};

const takePort = async (): Promise<number> => {
  if (remainingPorts.length === 0) await reserveBlock();
  const port = remainingPorts.shift();
  return port !== undefined && (await isFree(port)) ? port : takePort();
};

let lastReservation: Promise<unknown> = Promise.resolve();

/**
 * Reserves a port of the loopback address, over TCP and UDP, until this process ends. No other process
 * that calls this function gets the port in that time, and the system assigns it to no connection. So it
 * can be bound later, by this process or a child process, and again after it was closed. Until then,
 * connections to it are refused.
 *
 * For servers whose port must be known before they start. Other servers listen on port 0.
 */
export const reservePort = (): Promise<number> => {
  // One call after the other, so that calls at the same time share a block.
  const reservation = lastReservation.then(takePort);
  // The caller handles the error; it must not fail the next call as well.
  lastReservation = reservation.catch(() => undefined);
  return reservation;
};
