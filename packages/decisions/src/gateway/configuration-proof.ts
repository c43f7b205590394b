import type { MonotonicMs } from '@savorywind/model';

/** A version of the configuration, and since when this entry VM knows that it was committed. */
interface KnownVersion {
  readonly version: number;
  readonly knownSinceMs: MonotonicMs;
}

/** A response of the store about the configuration. */
export interface ShownConfiguration {
  /** Version of the configuration; undefined if it has not changed since the last response. */
  readonly version: number | undefined;
  /** Whether the row was read with all others, or because it changed. */
  readonly source: 'snapshot' | 'change';
}

/** Versions that are remembered; more can't become known while one question to the store is under way. */
const MAX_KNOWN_VERSIONS = 16;

/**
 * Decides what a response of the store proves for the lease on credentials. A store that has come back
 * from an older copy of itself shows an older configuration until the operator has written again, and a
 * credential may have been revoked in between.
 *
 * A response proves nothing if it shows an older version than one that was known to be committed when
 * the question left: to this entry VM, or to a peer by its snapshots. After the begin of a new era it also
 * proves nothing until the operator has written in that era, or until the time has passed in which
 * everything lost is written again: the last change may have been lost before any entry VM saw it.
 *
 * @example
 * proof.handleShown({ version: 7, source: 'snapshot' });
 * if (proof.isProof(requestedAtMs, nowMs)) lease.renew(requestedAtMs);
 */
export class ConfigurationProof {
  private readonly knownVersions: KnownVersion[] = [];

  private shownVersion: number | undefined;

  /** Until when responses prove nothing after the begin of an era. */
  private heldUntilMs = Number.NEGATIVE_INFINITY;

  /** The newest version of the configuration that the store has shown in its era. */
  get shown(): number | undefined {
    return this.shownVersion;
  }

  /** Records a version that was committed. */
  recordCommitted(version: number, nowMs: MonotonicMs): void {
    const newest = this.knownVersions.at(-1);
    if (newest !== undefined && version <= newest.version) return;
    this.knownVersions.push({ version, knownSinceMs: nowMs });
    if (this.knownVersions.length > MAX_KNOWN_VERSIONS) this.knownVersions.shift();
  }

  /** @param rewriteMs time within which what the store has lost is written again */
  handleEraRaised(nowMs: MonotonicMs, rewriteMs: number): void {
    this.shownVersion = undefined;
    this.heldUntilMs = nowMs + rewriteMs;
  }

  handleShown({ version, source }: ShownConfiguration): void {
    if (version === undefined) return;
    this.shownVersion = Math.max(this.shownVersion ?? version, version);
    if (source === 'change') this.heldUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Whether the last response proves that the configuration in force was current when it was requested. */
  isProof(requestedAtMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    if (this.shownVersion === undefined || nowMs < this.heldUntilMs) return false;
    const required = this.knownVersions.findLast(
      ({ knownSinceMs }) => knownSinceMs <= requestedAtMs,
    );
    return required === undefined || this.shownVersion >= required.version;
  }
}
