import type { GatewayConfiguration, GatewayEndpoint, GatewayPeer } from '@savorywind/model';
import {
  createCallerLimits,
  createEngineTraits,
  createGatewayContract,
  createStreamRoute,
} from '@savorywind/stand-ins';

const PEER_PORT = 7_000;
const ENGINE_PORT = 8_000;
const SLOTS = 11;

/** Rate of the smallest links of the grown deployments, 14 Mbit/s, in bytes per millisecond. */
const LINK_BYTES_PER_MS = 1_750;

export const GATEWAY_CONTRACT = createGatewayContract({
  credentialFreshnessMs: 60_000,
  linkBytesPerMs: LINK_BYTES_PER_MS,
});

export const GATEWAY_CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [createStreamRoute()],
  services: [
    { name: 'pool', healthPath: '/health', maxConnections: 300, engine: createEngineTraits() },
  ],
  teams: undefined,
  callerLimits: createCallerLimits(),
};

const createHost = (first: number, index: number): string =>
  `10.${first}.${Math.floor(index / 256)}.${index % 256}`;

/** Creates entry VMs that are spread evenly over the failure domains. */
export const createPeers = (count: number, failureDomains: number): GatewayPeer[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `entry-domain-${index}`,
    failureDomain: `domain-${index % failureDomains}`,
    address: { host: createHost(1, index), port: PEER_PORT },
  }));

/** Creates engines that are spread evenly over the failure domains. */
export const createEndpoints = (count: number, failureDomains: number): GatewayEndpoint[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `i-${String(10_000_000 + index)}`,
    service: 'pool',
    address: { host: createHost(2, index), port: ENGINE_PORT },
    failureDomain: `domain-${index % failureDomains}`,
    state: 'serving',
    slots: SLOTS,
    startedAtMs: 1,
  }));
