import {
  logEvents,
  type Configuration,
  type Endpoint,
  type EndpointEntry,
  type EndpointId,
  type MonotonicMs,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import {
  EJECTION_BASE_MS,
  MAX_EJECTION_MS,
  FAILURES_BEFORE_EJECTION,
  LEAVING_HOLD_DOWN_MS,
  MIN_USABLE_FRACTION,
  SLOW_START_MIN_FRACTION,
  SLOW_START_MS,
} from './health-consts.js';
import type { EndpointOutcome } from './types.js';

interface Health {
  /** Consecutive failures since the last answer or ejection. */
  failures: number;
  /** Consecutive ejections; reset when the endpoint answers after its slow start. */
  ejections: number;
  ejectedUntilMs: MonotonicMs | undefined;
  readmittedAtMs: MonotonicMs | undefined;
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
 * Decides which endpoints get new work: those that are not leaving and not ejected after repeated
 * failures (outlier ejection). An ejected endpoint is readmitted with a small fraction of its traffic
 * that grows (slow start). Part of each pool is never ejected, because failures of all endpoints
 * indicate a fault of the network and not of each endpoint.
 */
export class EndpointHealth {
  private readonly health = new Map<EndpointId, Health>();

  /** Endpoints that a list or a peer reported as leaving, with the time of the last report. */
  private readonly leaving = new Map<EndpointId, MonotonicMs>();

  private index: EndpointIndex | undefined;

  private readonly outcomeHandlers: OutcomeHandlers = {
    answered: (id) => this.recordAnswer(id),
    rejected: () => {},
    notSent: (id) => this.recordFailure(id),
    broken: (id) => this.recordFailure(id),
    invalid: (id) => this.recordFailure(id),
  };

  constructor(
    private readonly context: NodeContext,
    private readonly readConfiguration: () => Configuration | undefined,
  ) {}

  /** Whether an endpoint may get new work. */
  isUsable(id: EndpointId): boolean {
    return this.readTrafficFraction(id) > 0;
  }

  /** Fraction of its usual new work that an endpoint should get, from 0 to 1. */
  readTrafficFraction(id: EndpointId): number {
    if (this.isLeaving(id)) return 0;
    const health = this.health.get(id);
    if (health === undefined) return 1;
    if (health.ejectedUntilMs !== undefined) return 0;
    if (health.readmittedAtMs === undefined) return 1;
    const rampedFraction = (this.context.nowMs - health.readmittedAtMs) / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_MIN_FRACTION, rampedFraction));
  }

  recordOutcome(id: EndpointId, outcome: EndpointOutcome): void {
    this.outcomeHandlers[outcome](id);
  }

  listLeaving(): EndpointId[] {
    return [...this.leaving.keys()];
  }

  /** Records that an endpoint is leaving. @returns whether this was not known before */
  recordLeaving(id: EndpointId): boolean {
    const isNew = !this.leaving.has(id);
    this.leaving.set(id, this.context.nowMs);
    if (isNew) this.context.log(logEvents.endpointLeaving, { endpoint: id });
    return isNew;
  }

  /**
   * Applies the platform's list. An entry with `live` clears `leaving` only after
   * `LEAVING_HOLD_DOWN_MS`, because an older list may arrive after a newer one.
   *
   * @returns endpoints that are newly leaving
   */
  applyListed(entries: readonly EndpointEntry[]): EndpointId[] {
    entries.forEach(({ endpoint, state }) => {
      const sinceMs = this.leaving.get(endpoint);
      if (state !== 'live' || sinceMs === undefined) return;
      if (this.context.nowMs - sinceMs >= LEAVING_HOLD_DOWN_MS) this.leaving.delete(endpoint);
    });
    return entries
      .filter(({ endpoint, state }) => state === 'leaving' && this.recordLeaving(endpoint))
      .map(({ endpoint }) => endpoint);
  }

  private isLeaving(id: EndpointId): boolean {
    return this.leaving.has(id) || this.findDeclared(id)?.state === 'leaving';
  }

  private findDeclared(id: EndpointId): Endpoint | undefined {
    return this.readIndex().byId.get(id);
  }

  /** Returns the endpoints of the configuration in force, indexed; rebuilt when it changes. */
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

  private recordAnswer(id: EndpointId): void {
    const health = this.health.get(id);
    if (health === undefined) return;
    health.failures = 0;
    const { readmittedAtMs } = health;
    if (readmittedAtMs === undefined) return;
    if (this.context.nowMs - readmittedAtMs >= SLOW_START_MS) this.health.delete(id);
  }

  private recordFailure(id: EndpointId): void {
    const health = this.health.get(id) ?? {
      failures: 0,
      ejections: 0,
      ejectedUntilMs: undefined,
      readmittedAtMs: undefined,
    };
    this.health.set(id, health);
    if (health.ejectedUntilMs !== undefined) return;
    health.failures += 1;
    const isInSlowStart = health.readmittedAtMs !== undefined;
    if (health.failures < FAILURES_BEFORE_EJECTION && !isInSlowStart) return;
    if (this.mayEject(id)) this.eject(id, health);
  }

  private mayEject(id: EndpointId): boolean {
    const declared = this.findDeclared(id);
    if (declared === undefined) return false;
    const pool = this.readIndex().byPool.get(formatPool(declared)) ?? [];
    const others = pool.filter((other) => other !== id && this.isUsable(other));
    return others.length >= Math.max(1, Math.ceil(pool.length * MIN_USABLE_FRACTION));
  }

  private eject(id: EndpointId, health: Health): void {
    const maxDurationMs = Math.min(MAX_EJECTION_MS, EJECTION_BASE_MS * 2 ** health.ejections);
    const durationMs = maxDurationMs * (1 + this.context.drawRandom()) * 0.5;
    health.ejections += 1;
    health.failures = 0;
    health.readmittedAtMs = undefined;
    health.ejectedUntilMs = this.context.nowMs + durationMs;
    this.context.log(logEvents.endpointEjected, { endpoint: id, durationMs });
    this.context.schedule(durationMs, () => this.finishEjection(id, health));
  }

  private finishEjection(id: EndpointId, health: Health): void {
    if (this.health.get(id) !== health) return;
    health.ejectedUntilMs = undefined;
    health.readmittedAtMs = this.context.nowMs;
    this.context.log(logEvents.endpointReturning, { endpoint: id });
  }
}
