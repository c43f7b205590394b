import type { Server } from 'node:net';
import type { NetworkAddress } from '@savorywind/model';

/**
 * Starts to listen. Errors that come later, for example if no descriptor is left for a new connection, don't
 * end the process: the server goes on with the connections that it has.
 *
 * @param onFailed called with each error after the start
 * @returns a promise that is rejected if the address can't be opened
 * @example
 * await openAddress(server, { host: '127.0.0.1', port: 8_000 }, (error) => console.log(error));
 */
export const openAddress = (
  server: Server,
  { host, port }: NetworkAddress,
  onFailed: (error: Error) => void,
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      server.on('error', onFailed);
      resolve();
    });
  });
