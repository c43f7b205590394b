import type { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionChoice } from '@savorywind/decisions';
import type { EndpointId } from '@savorywind/model';
import { ProbingAgent } from '../../http/probing-agent.js';

/** Idle connections kept open per endpoint. */
const MAX_IDLE_CONNECTIONS = 6;

/** Idle time after which a connection closes, in milliseconds, unless the endpoint names its own. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * A request that must not run twice only reuses connections that were idle for less than this time,
 * in milliseconds: the endpoint may be closing an older one.
 */
const MAX_RECENT_IDLE_MS = 1_500;

const idleSinceMs = new WeakMap<Socket, number>();

/**
 * Pools of keep-alive connections, one per id of an endpoint or a peer. A new endpoint at a known address
 * starts with an empty pool.
 */
export class ConnectionPools {
  private readonly agents = new Map<EndpointId, Agent>();

  /** Opens a connection for each request and closes it after the response. */
  private readonly newConnections: ProbingAgent;

  /** @param localAddress address from which connections are opened; the system picks it if it is missing */
  constructor(private readonly localAddress?: string) {
    this.newConnections = new ProbingAgent({ keepAlive: false, localAddress });
  }

  /**
   * Returns the pool of an endpoint, which is created if it does not exist yet. For `new` connections,
   * returns an agent without idle connections.
   *
   * @param choice `kept` allows all idle connections; `recent` first closes those that were idle for too
   *   long
   */
  find(endpoint: EndpointId, choice: ConnectionChoice): Agent {
    if (choice === 'new') return this.newConnections;
    const agent = this.agents.get(endpoint) ?? this.createAgent(endpoint);
    if (choice === 'recent') {
      const oldestAllowedMs = performance.now() - MAX_RECENT_IDLE_MS;
      this.closeIdle(agent, (socket) => (idleSinceMs.get(socket) ?? 0) < oldestAllowedMs);
    }
    return agent;
  }

  /** Removes an endpoint's pool and closes its idle connections; those in use stay open. */
  remove(endpoint: EndpointId): void {
    const agent = this.agents.get(endpoint);
    if (agent === undefined) return;
    this.closeIdle(agent, () => true);
    this.agents.delete(endpoint);
  }

  stop(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
    this.newConnections.destroy();
  }

  private createAgent(endpoint: EndpointId): Agent {
    const agent = new ProbingAgent({
      keepAlive: true,
      localAddress: this.localAddress,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
    agent.on('free', (socket: Socket) => idleSinceMs.set(socket, performance.now()));
    this.agents.set(endpoint, agent);
    return agent;
  }

  // eslint-disable-next-line class-methods-use-this
  private closeIdle(agent: Agent, matches: (socket: Socket) => boolean): void {
    Object.values(agent.freeSockets)
      .flatMap((sockets) => sockets ?? [])
      .filter(matches)
      .forEach((socket) => socket.destroy());
  }
}
