import { createServer, type AddressInfo } from 'node:net';

const openServer = (): Promise<{ port: number; close: () => Promise<void> }> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        port,
        close: () =>
          new Promise((done) => {
            server.close(() => done());
          }),
      });
    });
  });

/** Finds ports of the loopback address that are free now; each is given once. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  await Promise.all(servers.map(({ close }) => close()));
  return servers.map(({ port }) => port);
};
