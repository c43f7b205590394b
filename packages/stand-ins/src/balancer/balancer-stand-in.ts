import { request as sendRequest } from 'node:http';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { NetworkAddress } from '@savorywind/model';
import type { RunningServer } from '../http/route-server.js';

export interface BalancerSettings {
  readonly port: number;
  readonly backends: readonly NetworkAddress[];
}

const PROBE_MS = 200;

const probeReady = (backend: NetworkAddress): Promise<boolean> =>
  new Promise((resolve) => {
    const probe = sendRequest({ ...backend, path: '/healthz/ready', timeout: PROBE_MS });
    probe.on('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    probe.on('timeout', () => probe.destroy());
    probe.on('error', () => resolve(false));
    probe.end();
  });

const joinSockets = (near: Socket, far: Socket): void => {
  near.pipe(far);
  far.pipe(near);
  near.on('error', () => far.destroy());
  far.on('error', () => near.destroy());
  near.on('close', () => far.destroy());
  far.on('close', () => near.destroy());
};

/** Starts a small balancer: connections go in turn to the backends that say they are ready. */
export const startBalancer = (settings: BalancerSettings): Promise<RunningServer> =>
  new Promise((resolve, reject) => {
    let ready: NetworkAddress[] = [...settings.backends];
    let turn = 0;
    const open = new Set<Socket>();
    const refresh = async (): Promise<void> => {
      const states = await Promise.all(settings.backends.map(probeReady));
      ready = settings.backends.filter((_backend, index) => states[index]);
    };
    const timer = setInterval(() => {
      refresh().catch(() => {});
    }, PROBE_MS);
    const server = createServer((near) => {
      const backend = ready[turn % Math.max(1, ready.length)];
      turn += 1;
      if (backend === undefined) {
        near.destroy();
        return;
      }
      open.add(near);
      near.on('close', () => open.delete(near));
      joinSockets(near, connect(backend.port, backend.host));
    });
    server.on('error', reject);
    server.listen(settings.port, '127.0.0.1', () => {
      const close = (): Promise<void> =>
        new Promise((done) => {
          clearInterval(timer);
          server.close(() => done());
          open.forEach((socket) => socket.destroy());
        });
      resolve({ port: (server.address() as AddressInfo).port, close });
    });
  });
