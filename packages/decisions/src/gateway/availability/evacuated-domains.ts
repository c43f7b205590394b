import { logEvents, type FailureDomainId, type MonotonicMs } from '@savorywind/model';
import type { GatewayContext } from '../gateway-context.js';
import type { EvacuationChange, EvacuationsRead } from '../types.js';

/** What metrics show of one evacuated failure domain. */
export interface EvacuatedDomainUsage {
  readonly domain: FailureDomainId;
  /** Time since this entry VM knows of the evacuation, in milliseconds. */
  readonly evacuatedForMs: number;
}

/** What metrics show of evacuations. */
export interface EvacuationUsage {
  readonly domains: readonly EvacuatedDomainUsage[];
  /** Attempts of this entry VM that go on at endpoints of these domains, helpers included. */
  readonly attempts: number;
}

export interface EvacuatedDomainsOptions {
  readonly context: GatewayContext;
  /** Time after an older copy of the store by which the operator has written again, in milliseconds. */
  readonly rewriteMs: number;
  /** Called when the evacuation of a domain has ended, before {@link onChanged}. */
  readonly onEnded: (domain: FailureDomainId) => void;
  /** Called once for each read after which other domains are evacuated than before it. */
  readonly onChanged: () => void;
}

/** What an older copy of the store says of a domain, against what this entry VM knows. */
type Contradiction =
  /** The copy lacks the row of an evacuation, which goes on. */
  | 'kept'
  /** The copy still has the row of an evacuation that had ended. */
  | 'withheld';

/**
 * Time for which the end of an evacuation is remembered. An older copy of the store is some seconds old, and
 * the store may come back from it some seconds later.
 */
const END_MEMORY_MS = 60_000;

/**
 * The failure domains to whose endpoints nothing more may be sent because the operator has asked for it. Each
 * read of the table that holds the requests is applied at once.
 *
 * A store that has come back from an older copy of itself may lack the row of an evacuation, or still have
 * that of one which has ended. What was known goes on to hold until the operator has written the row again, or
 * until a read answers that was sent after the time in which the operator writes again.
 *
 * @example
 * evacuated.handleRead({ source: 'snapshot', changes: [{ domain: 'a', isEvacuated: true }], requestedAtMs });
 * evacuated.has('a'); // true
 */
export class EvacuatedDomains {
  /** When this entry VM began to hold each evacuation. */
  private readonly sinceMs = new Map<FailureDomainId, MonotonicMs>();

  /** When evacuations ended, as far as it is remembered. */
  private readonly endedAtMs = new Map<FailureDomainId, MonotonicMs>();

  private readonly contradictions = new Map<FailureDomainId, Contradiction>();

  /** Until when a read of all rows proves nothing against what is known. */
  private heldUntilMs: MonotonicMs = Number.NEGATIVE_INFINITY;

  /** Whether all rows have still to be read since the store came back from an older copy of itself. */
  private isUnread = false;

  private hasChanged = false;

  private rewriteMs: number;

  constructor(private readonly options: EvacuatedDomainsOptions) {
    this.rewriteMs = options.rewriteMs;
  }

  /** Changes the time after an older copy of the store by which the operator has written again. */
  changeRewriteTime(rewriteMs: number): void {
    this.rewriteMs = rewriteMs;
  }

  has(domain: FailureDomainId): boolean {
    return this.sinceMs.has(domain);
  }

  get usage(): EvacuatedDomainUsage[] {
    const { nowMs } = this.options.context;
    return [...this.sinceMs].map(([domain, sinceMs]) => ({
      domain,
      evacuatedForMs: nowMs - sinceMs,
    }));
  }

  /** Applies what was read of the table, which may be nothing new. */
  handleRead({ source, changes, requestedAtMs }: EvacuationsRead): void {
    this.hasChanged = false;
    if (source === 'snapshot') this.applyAll(changes, requestedAtMs);
    else changes.forEach((change) => this.apply(change, requestedAtMs));
    this.resolveContradictions(requestedAtMs);
    if (this.hasChanged) this.options.onChanged();
  }

  /** Handles that the store has come back from an older copy of itself. */
  handleEraRaised(): void {
    this.contradictions.clear();
    this.isUnread = true;
    this.startHold();
  }

  /** Handles that the store answers again: the operator could not write meanwhile. */
  handleStoreRegained(): void {
    if (this.isUnread || this.contradictions.size > 0) this.startHold();
  }

  /** Counts time that the clock missed towards the age of evacuations. */
  addLostTime(lostMs: number): void {
    this.sinceMs.forEach((sinceMs, domain) => this.sinceMs.set(domain, sinceMs - lostMs));
  }

  private startHold(): void {
    this.heldUntilMs = this.options.context.nowMs + this.rewriteMs;
  }

  private applyAll(rows: readonly EvacuationChange[], requestedAtMs: MonotonicMs): void {
    this.isUnread = false;
    const shown = new Set(rows.filter(({ isEvacuated }) => isEvacuated).map((row) => row.domain));
    const isHeld = requestedAtMs < this.heldUntilMs;
    [...this.sinceMs.keys()]
      .filter((domain) => !shown.has(domain))
      .forEach((domain) => {
        if (isHeld) this.recordContradiction(domain, 'kept');
        else this.removeDomain(domain, requestedAtMs);
      });
    shown.forEach((domain) => {
      this.contradictions.delete(domain);
      if (isHeld && this.hasEndedLately(domain)) this.recordContradiction(domain, 'withheld');
      else this.addDomain(domain, requestedAtMs);
    });
  }

  /** Applies a row that has changed since the last read, in the era of the store that is known. */
  private apply({ domain, isEvacuated }: EvacuationChange, requestedAtMs: MonotonicMs): void {
    this.contradictions.delete(domain);
    if (isEvacuated) this.addDomain(domain, requestedAtMs);
    else this.removeDomain(domain, requestedAtMs);
  }

  /** Believes the copy where the operator has had the time to write again. */
  private resolveContradictions(requestedAtMs: MonotonicMs): void {
    if (requestedAtMs < this.heldUntilMs) return;
    const settled = [...this.contradictions];
    this.contradictions.clear();
    settled.forEach(([domain, contradiction]) => {
      if (contradiction === 'kept') this.removeDomain(domain, requestedAtMs);
      else this.addDomain(domain, requestedAtMs);
    });
  }

  private recordContradiction(domain: FailureDomainId, contradiction: Contradiction): void {
    if (this.contradictions.get(domain) === contradiction) return;
    this.contradictions.set(domain, contradiction);
    this.options.context.log(logEvents.evacuationContradicted, { domain, contradiction });
  }

  private hasEndedLately(domain: FailureDomainId): boolean {
    const endedAtMs = this.endedAtMs.get(domain) ?? Number.NEGATIVE_INFINITY;
    return !this.has(domain) && this.options.context.nowMs - endedAtMs < END_MEMORY_MS;
  }

  private addDomain(domain: FailureDomainId, requestedAtMs: MonotonicMs): void {
    if (this.has(domain)) return;
    const { context } = this.options;
    this.hasChanged = true;
    this.endedAtMs.delete(domain);
    this.sinceMs.set(domain, context.nowMs);
    const readAgeMs = Math.round(context.nowMs - requestedAtMs);
    context.log(logEvents.evacuationBegun, { domain, readAgeMs });
  }

  private removeDomain(domain: FailureDomainId, requestedAtMs: MonotonicMs): void {
    const { context } = this.options;
    const { nowMs } = context;
    this.dropOldEnds();
    // Also where it was not known here: an older copy of the store may still have the row.
    this.endedAtMs.set(domain, nowMs);
    const sinceMs = this.sinceMs.get(domain);
    if (sinceMs === undefined) return;
    this.hasChanged = true;
    this.sinceMs.delete(domain);
    context.log(logEvents.evacuationEnded, {
      domain,
      forMs: Math.round(nowMs - sinceMs),
      readAgeMs: Math.round(nowMs - requestedAtMs),
    });
    this.options.onEnded(domain);
  }

  private dropOldEnds(): void {
    const { nowMs } = this.options.context;
    this.endedAtMs.forEach((atMs, domain) => {
      if (nowMs - atMs >= END_MEMORY_MS) this.endedAtMs.delete(domain);
    });
  }
}
