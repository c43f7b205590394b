import type { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { EndpointId } from '@savorywind/model';
import { ProbingAgent } from './probing-agent.js';

/** Kept connections to one endpoint that may lie idle. */
const MAX_IDLE_CONNECTIONS = 6;

/** An idle connection is dropped after this time where the endpoint names none. */
const IDLE_TIMEOUT_MS = 15_000;

/** A call that must not run twice uses no connection that was idle for longer. */
const RECENT_MS = 1_500;

const idleSince = new WeakMap<Socket, number>();

/** Kept connections, by endpoint: an endpoint that takes an old address starts with none. */
export class ConnectionPools {
  private readonly agents = new Map<EndpointId, Agent>();

  /** The pool of an endpoint; for `recent` without the connections that were idle for long. */
  find(endpoint: EndpointId, freshness: 'kept' | 'recent'): Agent {
    const agent = this.agents.get(endpoint) ?? this.createAgent(endpoint);
    if (freshness === 'recent') {
      const oldest = performance.now() - RECENT_MS;
      this.destroyIdle(agent, (socket) => (idleSince.get(socket) ?? 0) < oldest);
    }
    return agent;
  }

  /** Ends the idle connections of an endpoint; those in use go on. */
  forget(endpoint: EndpointId): void {
    const agent = this.agents.get(endpoint);
    if (agent === undefined) return;
    this.destroyIdle(agent, () => true);
    this.agents.delete(endpoint);
  }

  stop(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }

  private createAgent(endpoint: EndpointId): Agent {
    const agent = new ProbingAgent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
    agent.on('free', (socket: Socket) => idleSince.set(socket, performance.now()));
    this.agents.set(endpoint, agent);
    return agent;
  }

  // eslint-disable-next-line class-methods-use-this
  private destroyIdle(agent: Agent, matches: (socket: Socket) => boolean): void {
    Object.values(agent.freeSockets)
      .flatMap((sockets) => sockets ?? [])
      .filter(matches)
      .forEach((socket) => socket.destroy());
  }
}
