import {
  logEvents,
  type Configuration,
  type Endpoint,
  type EndpointEntry,
  type EndpointId,
  type MonotonicMs,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import {
  EJECTION_BASE_MS,
  EJECTION_LIMIT_MS,
  FAILURES_BEFORE_EJECTION,
  LEAVING_HOLD_MS,
  MIN_POOL_SHARE,
  RETURN_MIN_SHARE,
  RETURN_MS,
} from './health-consts.js';
import type { EndpointOutcome } from './types.js';

interface Health {
  /** Failures since the last answer. */
  failures: number;
  /** Ejections since the endpoint last came back for good. */
  ejections: number;
  ejectedUntilMs: MonotonicMs | undefined;
  returnedAtMs: MonotonicMs | undefined;
}

type OutcomeHandlers = Readonly<Record<EndpointOutcome, (id: EndpointId) => void>>;

const formatPool = (endpoint: Endpoint): string =>
  endpoint.kind === 'engine' ? `engine|${endpoint.model}` : `service|${endpoint.service}`;

interface EndpointIndex {
  readonly configuration: Configuration | undefined;
  readonly byId: ReadonlyMap<EndpointId, Endpoint>;
  readonly byPool: ReadonlyMap<string, readonly EndpointId[]>;
}

const createIndex = (configuration: Configuration | undefined): EndpointIndex => {
  const endpoints = configuration?.endpoints ?? [];
  const byPool = new Map<string, EndpointId[]>();
  endpoints.forEach((endpoint) => {
    const pool = byPool.get(formatPool(endpoint)) ?? [];
    pool.push(endpoint.id);
    byPool.set(formatPool(endpoint), pool);
  });
  return {
    configuration,
    byId: new Map(endpoints.map((endpoint) => [endpoint.id, endpoint])),
    byPool,
  };
};

/**
 * Which endpoints get new work: those that are not leaving, and that did not fail repeatedly. An
 * ejected endpoint comes back with a small share that grows, and a pool never loses all of its
 * endpoints, since failures everywhere speak against the network and not against each endpoint.
 */
export class EndpointHealth {
  private readonly health = new Map<EndpointId, Health>();

  /** Endpoints that a list or a peer called leaving, with the time when it last did so. */
  private readonly leaving = new Map<EndpointId, MonotonicMs>();

  private index: EndpointIndex | undefined;

  private readonly outcomeHandlers: OutcomeHandlers = {
    answered: (id) => this.acceptAnswer(id),
    rejected: () => {},
    notSent: (id) => this.acceptFailure(id),
    broken: (id) => this.acceptFailure(id),
    invalid: (id) => this.acceptFailure(id),
  };

  constructor(
    private readonly context: NodeContext,
    private readonly readConfiguration: () => Configuration | undefined,
  ) {}

  isUsable(id: EndpointId): boolean {
    return this.readShare(id) > 0;
  }

  readShare(id: EndpointId): number {
    if (this.isLeaving(id)) return 0;
    const health = this.health.get(id);
    if (health === undefined) return 1;
    if (health.ejectedUntilMs !== undefined) return 0;
    if (health.returnedAtMs === undefined) return 1;
    const grown = (this.context.nowMs - health.returnedAtMs) / RETURN_MS;
    return Math.min(1, Math.max(RETURN_MIN_SHARE, grown));
  }

  acceptOutcome(id: EndpointId, outcome: EndpointOutcome): void {
    this.outcomeHandlers[outcome](id);
  }

  listLeaving(): EndpointId[] {
    return [...this.leaving.keys()];
  }

  /** @returns whether this was news */
  acceptLeaving(id: EndpointId): boolean {
    const isNews = !this.leaving.has(id);
    this.leaving.set(id, this.context.nowMs);
    if (isNews) this.context.log(logEvents.endpointLeaving, { endpoint: id });
    return isNews;
  }

  /**
   * Takes the platform's list. One that says `live` takes `leaving` back only after a while, because
   * an older list may come after a newer one.
   *
   * @returns endpoints that are newly leaving
   */
  acceptListed(entries: readonly EndpointEntry[]): EndpointId[] {
    entries.forEach(({ endpoint, state }) => {
      const sinceMs = this.leaving.get(endpoint);
      if (state !== 'live' || sinceMs === undefined) return;
      if (this.context.nowMs - sinceMs >= LEAVING_HOLD_MS) this.leaving.delete(endpoint);
    });
    return entries
      .filter(({ endpoint, state }) => state === 'leaving' && this.acceptLeaving(endpoint))
      .map(({ endpoint }) => endpoint);
  }

  private isLeaving(id: EndpointId): boolean {
    return this.leaving.has(id) || this.findDeclared(id)?.state === 'leaving';
  }

  private findDeclared(id: EndpointId): Endpoint | undefined {
    return this.readIndex().byId.get(id);
  }

  /** Endpoints of the configuration in force; built again only when another one is. */
  private readIndex(): EndpointIndex {
    const configuration = this.readConfiguration();
    if (this.index !== undefined && this.index.configuration === configuration) return this.index;
    const index = createIndex(configuration);
    this.index = index;
    [...this.health.keys()]
      .filter((id) => !index.byId.has(id))
      .forEach((id) => this.health.delete(id));
    return index;
  }

  private acceptAnswer(id: EndpointId): void {
    const health = this.health.get(id);
    if (health === undefined) return;
    health.failures = 0;
    const { returnedAtMs } = health;
    if (returnedAtMs === undefined) return;
    if (this.context.nowMs - returnedAtMs >= RETURN_MS) this.health.delete(id);
  }

  private acceptFailure(id: EndpointId): void {
    const health = this.health.get(id) ?? {
      failures: 0,
      ejections: 0,
      ejectedUntilMs: undefined,
      returnedAtMs: undefined,
    };
    this.health.set(id, health);
    if (health.ejectedUntilMs !== undefined) return;
    health.failures += 1;
    const isOnTrial = health.returnedAtMs !== undefined;
    if (health.failures < FAILURES_BEFORE_EJECTION && !isOnTrial) return;
    if (this.mayEject(id)) this.eject(id, health);
  }

  private mayEject(id: EndpointId): boolean {
    const declared = this.findDeclared(id);
    if (declared === undefined) return false;
    const pool = this.readIndex().byPool.get(formatPool(declared)) ?? [];
    const others = pool.filter((other) => other !== id && this.isUsable(other));
    return others.length >= Math.max(1, Math.ceil(pool.length * MIN_POOL_SHARE));
  }

  private eject(id: EndpointId, health: Health): void {
    const limitMs = Math.min(EJECTION_LIMIT_MS, EJECTION_BASE_MS * 2 ** health.ejections);
    const durationMs = limitMs * (1 + this.context.drawRandom()) * 0.5;
    health.ejections += 1;
    health.failures = 0;
    health.returnedAtMs = undefined;
    health.ejectedUntilMs = this.context.nowMs + durationMs;
    this.context.log(logEvents.endpointEjected, { endpoint: id, durationMs });
    this.context.schedule(durationMs, () => this.readmit(id, health));
  }

  private readmit(id: EndpointId, health: Health): void {
    if (this.health.get(id) !== health) return;
    health.ejectedUntilMs = undefined;
    health.returnedAtMs = this.context.nowMs;
    this.context.log(logEvents.endpointReturning, { endpoint: id });
  }
}
