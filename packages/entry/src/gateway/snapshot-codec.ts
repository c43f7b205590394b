import { Packr } from 'msgpackr';
import {
  Err,
  Ok,
  type CrashObservation,
  type EngineWork,
  type GatewayPeer,
  type HarmObservation,
  type KnownConfiguration,
  type LeavingObservation,
  type Result,
  type WorkSnapshot,
} from '@savorywind/model';
import {
  isAddress,
  isNonNegative,
  isObservation,
  isPermitMessage,
  isShortText,
  type PermitMessage,
} from './permit-messages.js';
import {
  COMPACT_VERSION,
  decodeCompactSnapshot,
  encodeCompactSnapshot,
} from './compact-snapshot.js';

/**
 * Form of a datagram. `named`: a map with the names of all fields, which every build reads. `compact`: an
 * array without names, a quarter as long, for peers that are known to read it.
 */
export type SnapshotFormat = 'named' | 'compact';

/** A decoded datagram with a snapshot. */
export interface DecodedSnapshot {
  readonly kind: 'snapshot';
  readonly snapshot: WorkSnapshot;
  /** Whether the sender reads the compact form, too. */
  readonly readsCompact: boolean;
}

/** The named form; builds that only know this form send no `format`. */
interface NamedSnapshot extends WorkSnapshot {
  /** Version of the compact form that the sender reads. */
  readonly format?: number;
}

/** Engines that one snapshot may list; a larger fleet needs another message format. */
const MAX_ENGINES = 4_096;

/** Suspects that one snapshot may list, and crashes of one suspect; more would not fit a datagram. */
const MAX_SUSPECTS = 64;
const MAX_CRASHES = 64;

/** Services that one snapshot may list as lost. */
const MAX_LOST_SERVICES = 256;

const isPeer = (value: Partial<GatewayPeer> | undefined): boolean =>
  isShortText(value?.id) && isShortText(value.failureDomain) && isAddress(value.address);

const isWork = (value: Partial<EngineWork> | undefined): boolean =>
  isShortText(value?.endpoint) &&
  isNonNegative(value.writers) &&
  isNonNegative(value.tightWriters) &&
  isNonNegative(value.tightGapMs) &&
  isNonNegative(value.readers) &&
  isNonNegative(value.longReaders) &&
  isNonNegative(value.readMs) &&
  isNonNegative(value.memoryTokens);

/** Earlier builds send none. */
const isKnownConfiguration = (value: Partial<KnownConfiguration> | null | undefined): boolean =>
  value === undefined || (isNonNegative(value?.version) && isNonNegative(value.ageMs));

/** Earlier builds send no limits. */
const areLimits = (limits: WorkSnapshot['limits']): boolean =>
  limits === undefined ||
  (Array.isArray(limits) && limits.length <= MAX_ENGINES && limits.every(isObservation));

const isLeaving = (value: Partial<LeavingObservation> | undefined): boolean =>
  isShortText(value?.endpoint) && isNonNegative(value.startedAtMs) && isNonNegative(value.ageMs);

const areLeaving = (leaving: WorkSnapshot['leaving']): boolean =>
  leaving === undefined ||
  (Array.isArray(leaving) && leaving.length <= MAX_ENGINES && leaving.every(isLeaving));

const isAge = (value: unknown): boolean => value === undefined || isNonNegative(value);

const isCrash = (value: Partial<CrashObservation> | undefined): boolean =>
  isNonNegative(value?.process) &&
  isNonNegative(value.request) &&
  isNonNegative(value.tookMs) &&
  isNonNegative(value.ageMs);

const isHarm = (value: Partial<HarmObservation> | undefined): boolean =>
  isShortText(value?.suspect) &&
  isNonNegative(value.depth) &&
  isAge(value.begunAgeMs) &&
  isAge(value.triedAgeMs) &&
  Array.isArray(value.crashes) &&
  value.crashes.length <= MAX_CRASHES &&
  value.crashes.every(isCrash);

const areHarm = (harm: WorkSnapshot['harm']): boolean =>
  harm === undefined || (Array.isArray(harm) && harm.length <= MAX_SUSPECTS && harm.every(isHarm));

/** Earlier builds send no offer. */
const isOffer = (offer: WorkSnapshot['forwarding'] | null): boolean =>
  offer === undefined ||
  (typeof offer?.isAccepting === 'boolean' &&
    Array.isArray(offer.lostServices) &&
    offer.lostServices.length <= MAX_LOST_SERVICES &&
    offer.lostServices.every(isShortText));

/**
 * Checked by hand: hundreds of snapshots arrive per second, and a schema library would cost more time
 * than placing requests does.
 */
const isSnapshot = (value: unknown): value is WorkSnapshot => {
  const snapshot = value as Partial<WorkSnapshot> | undefined;
  return (
    isPeer(snapshot?.from) &&
    isNonNegative(snapshot?.incarnation) &&
    isNonNegative(snapshot?.sequence) &&
    Array.isArray(snapshot?.work) &&
    snapshot.work.length <= MAX_ENGINES &&
    snapshot.work.every(isWork) &&
    areLimits(snapshot.limits) &&
    areLeaving(snapshot.leaving) &&
    areHarm(snapshot.harm) &&
    isAge(snapshot.storeAvailableMs) &&
    isOffer(snapshot.forwarding) &&
    isKnownConfiguration(snapshot.configuration)
  );
};

/**
 * Converts work snapshots, and messages about permits, to and from datagrams.
 *
 * @example
 * const bytes = codec.encode(snapshot, 'compact');
 * codec.decode(bytes); // Ok({ kind: 'snapshot', snapshot, readsCompact: true }), or Err with what is wrong
 */
export class SnapshotCodec {
  private readonly packr = new Packr({ useRecords: false });

  encode(snapshot: WorkSnapshot, format: SnapshotFormat): Uint8Array {
    if (format === 'compact') return this.packr.pack(encodeCompactSnapshot(snapshot));
    return this.packr.pack({ ...snapshot, format: COMPACT_VERSION });
  }

  encodeMessage(message: PermitMessage): Uint8Array {
    return this.packr.pack(message);
  }

  decode(bytes: Uint8Array): Result<DecodedSnapshot | PermitMessage, string> {
    const unpacked = this.unpack(bytes);
    if (unpacked.err) return unpacked;
    if (isPermitMessage(unpacked.val)) return Ok(unpacked.val);
    const isCompact = Array.isArray(unpacked.val);
    const snapshot = isCompact ? decodeCompactSnapshot(unpacked.val as unknown[]) : unpacked.val;
    if (!isSnapshot(snapshot)) return Err('datagram is neither a work snapshot nor about a permit');
    const { format } = snapshot as NamedSnapshot;
    const readsCompact = isCompact || format === COMPACT_VERSION;
    return Ok({ kind: 'snapshot' as const, snapshot, readsCompact });
  }

  private unpack(bytes: Uint8Array): Result<unknown, string> {
    try {
      return Ok<unknown>(this.packr.unpack(bytes));
    } catch (error) {
      return Err((error as Error).message);
    }
  }
}
