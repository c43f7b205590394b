import { request as sendRequest } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { NetworkAddress } from '@savorywind/model';
import type { RunningServer } from '../http/route-server.js';

/** Settings of the balancer stand-in; port 0 selects a free port. */
export interface BalancerSettings {
  readonly port: number;
  readonly backends: readonly NetworkAddress[];
}

/** Interval of the readiness probes, and the timeout of each. */
const PROBE_INTERVAL_MS = 200;

const probeReady = (backend: NetworkAddress): Promise<boolean> =>
  new Promise((resolve) => {
    const probe = sendRequest({ ...backend, path: '/healthz/ready', timeout: PROBE_INTERVAL_MS });
    probe.on('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    probe.on('timeout', () => probe.destroy());
    probe.on('error', () => resolve(false));
    probe.end();
  });

const joinSockets = (client: Socket, backend: Socket): void => {
  client.pipe(backend);
  backend.pipe(client);
  client.on('error', () => backend.destroy());
  backend.on('error', () => client.destroy());
  client.on('close', () => backend.destroy());
  backend.on('close', () => client.destroy());
};

/** Starts a TCP load balancer that distributes connections round robin over ready backends. */
export const startBalancer = (settings: BalancerSettings): Promise<RunningServer> =>
  new Promise((resolve, reject) => {
    let readyBackends: NetworkAddress[] = [...settings.backends];
    let nextIndex = 0;
    const openSockets = new Set<Socket>();
    const refreshReadyBackends = async (): Promise<void> => {
      const states = await Promise.all(settings.backends.map(probeReady));
      readyBackends = settings.backends.filter((_backend, index) => states[index]);
    };
    const timer = setInterval(() => {
      refreshReadyBackends().catch(() => {});
    }, PROBE_INTERVAL_MS);
    const server = createServer((client) => {
      const backend = readyBackends[nextIndex % Math.max(1, readyBackends.length)];
      nextIndex += 1;
      if (backend === undefined) {
        client.destroy();
        return;
      }
      openSockets.add(client);
      client.on('close', () => openSockets.delete(client));
      joinSockets(client, connect(backend.port, backend.host));
    });
    server.on('error', reject);
    server.listen(settings.port, '127.0.0.1', () => {
      const close = (): Promise<void> =>
        new Promise((done) => {
          clearInterval(timer);
          server.close(() => done());
          openSockets.forEach((socket) => socket.destroy());
        });
      resolve({ port: (server.address() as AddressInfo).port, close });
    });
  });
