import { Packr } from 'msgpackr';
import {
  Err,
  Ok,
  type EngineWork,
  type GatewayPeer,
  type Result,
  type WorkSnapshot,
} from '@savorywind/model';

/** Engines that one snapshot may list; a larger fleet needs another message format. */
const MAX_ENGINES = 4_096;

const isShortString = (value: unknown): value is string =>
  typeof value === 'string' && value.length < 256;

const isNonNegative = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isPeer = (value: Partial<GatewayPeer> | undefined): boolean =>
  isShortString(value?.id) &&
  isShortString(value.failureDomain) &&
  isShortString(value.address?.host) &&
  isNonNegative(value.address.port);

const isWork = (value: Partial<EngineWork> | undefined): boolean =>
  isShortString(value?.endpoint) &&
  isNonNegative(value.writers) &&
  isNonNegative(value.tightWriters) &&
  isNonNegative(value.tightGapMs) &&
  isNonNegative(value.readers) &&
  isNonNegative(value.longReaders) &&
  isNonNegative(value.readMs) &&
  isNonNegative(value.memoryTokens);

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
    snapshot.work.every(isWork)
  );
};

/**
 * Converts work snapshots to and from datagrams.
 *
 * @example
 * const bytes = codec.encode(snapshot);
 * codec.decode(bytes); // Ok(snapshot), or Err with what is wrong
 */
export class SnapshotCodec {
  private readonly packr = new Packr({ useRecords: false });

  encode(snapshot: WorkSnapshot): Uint8Array {
    return this.packr.pack(snapshot);
  }

  decode(bytes: Uint8Array): Result<WorkSnapshot, string> {
    try {
      const value: unknown = this.packr.unpack(bytes);
      return isSnapshot(value) ? Ok(value) : Err('datagram is not a work snapshot');
    } catch (error) {
      return Err((error as Error).message);
    }
  }
}
