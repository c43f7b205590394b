import type { KnownConfiguration, MonotonicMs } from '@savorywind/model';

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
 * the question left: to this entry VM, or to a peer by its snapshots. A proof ends when a peer tells later
 * that it had known a newer version by then, as after a start while the older copy is shown. After the
 * begin of a new era a response also proves nothing until the operator has written in that era, or until
 * the time has passed in which everything lost is written again: the last change may have been lost
 * before any entry VM saw it.
 *
 * @example
 * proof.handleShown({ version: 7, source: 'snapshot' });
 * if (proof.takeProof(requestedAtMs, nowMs)) lease.renew(requestedAtMs);
 */
export class ConfigurationProof {
  private knownVersions: KnownVersion[] = [];

  /** The newest version of the configuration that the store has shown in its era. */
  private shownVersion: number | undefined;

  /** The last response that proved something. */
  private lastProof: { readonly version: number; readonly requestedAtMs: MonotonicMs } | undefined;

  /** Until when responses prove nothing after the begin of an era, or after the start of this process. */
  private heldUntilMs = Number.NEGATIVE_INFINITY;

  /** Whether the hold is that of a start, before it is known in which era of the store others had proof. */
  private isStarting = false;

  /** When the last response was requested that would have proved something without the hold of a start. */
  private heldRequestedAtMs: MonotonicMs | undefined;

  /**
   * Counts time that the clock missed: what was known before it lies further back. The hold after an era
   * is not shortened, as the time may be a step of the wall clock.
   */
  addLostTime(lostMs: number): void {
    this.knownVersions = this.knownVersions.map(({ version, knownSinceMs }) => ({
      version,
      knownSinceMs: knownSinceMs - lostMs,
    }));
    const { lastProof } = this;
    if (lastProof === undefined) return;
    this.lastProof = { ...lastProof, requestedAtMs: lastProof.requestedAtMs - lostMs };
  }

  /** Describes the newest version that is known to be committed, for the peers. */
  describeNewest(nowMs: MonotonicMs): KnownConfiguration | undefined {
    const newest = this.knownVersions.at(-1);
    if (newest === undefined) return undefined;
    return { version: newest.version, ageMs: Math.round(nowMs - newest.knownSinceMs) };
  }

  /**
   * Records a version that was committed.
   *
   * @returns whether it disproves the last proof: the store showed an older version after somebody knew it
   */
  recordCommitted(version: number, knownSinceMs: MonotonicMs): boolean {
    const newest = this.knownVersions.at(-1);
    if (newest === undefined || version > newest.version) {
      this.knownVersions.push({ version, knownSinceMs });
      if (this.knownVersions.length > MAX_KNOWN_VERSIONS) this.knownVersions.shift();
    }
    const { lastProof } = this;
    if (lastProof === undefined) return false;
    return lastProof.version < version && knownSinceMs <= lastProof.requestedAtMs;
  }

  /**
   * Holds proofs until the eras are known in which registered entry VMs had proof: a process that starts
   * remembers none, and may have started after the store came back from an older copy.
   *
   * @param rewriteMs time within which what the store has lost is written again
   */
  start(nowMs: MonotonicMs, rewriteMs: number): void {
    this.isStarting = true;
    this.heldUntilMs = nowMs + rewriteMs;
  }

  /** Whether it is not known yet in which era of the store other entry VMs had proof. */
  get isAwaitingEras(): boolean {
    return this.isStarting;
  }

  /** Leaves the hold of a start, as the store has begun a new era since the last proof that is known of. */
  keepHold(): void {
    this.isStarting = false;
  }

  /**
   * Ends the hold of a start.
   *
   * @returns when the response was requested that proves the configuration now; undefined if there is none
   */
  endHold(nowMs: MonotonicMs): MonotonicMs | undefined {
    this.isStarting = false;
    this.heldUntilMs = Number.NEGATIVE_INFINITY;
    const { heldRequestedAtMs } = this;
    if (heldRequestedAtMs === undefined) return undefined;
    return this.takeProof(heldRequestedAtMs, nowMs) ? heldRequestedAtMs : undefined;
  }

  /** @param rewriteMs time within which what the store has lost is written again */
  handleEraRaised(nowMs: MonotonicMs, rewriteMs: number): void {
    this.shownVersion = undefined;
    this.isStarting = false;
    this.heldUntilMs = nowMs + rewriteMs;
  }

  handleShown({ version, source }: ShownConfiguration): void {
    if (version === undefined) return;
    this.shownVersion = Math.max(this.shownVersion ?? version, version);
    if (source === 'change') this.heldUntilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Whether the last response proves that the configuration in force was current when it was requested.
   * If it does, it is remembered as the last proof.
   */
  takeProof(requestedAtMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    const { shownVersion } = this;
    if (this.isStarting) this.heldRequestedAtMs = requestedAtMs;
    if (shownVersion === undefined || nowMs < this.heldUntilMs) return false;
    const isOutdated = this.knownVersions.some(
      ({ version, knownSinceMs }) => knownSinceMs <= requestedAtMs && version > shownVersion,
    );
    if (isOutdated) return false;
    this.lastProof = { version: shownVersion, requestedAtMs };
    return true;
  }
}
