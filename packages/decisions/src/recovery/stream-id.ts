import type { EntryVmId } from '@savorywind/model';

/** Owner and time limit of a stream, as encoded in its id. */
export interface StreamOwner {
  readonly vmId: EntryVmId;
  readonly incarnation: number;
  /** Time from the stream's start to its request's deadline, in milliseconds. */
  readonly timeoutMs: number;
}

const SEPARATOR = '~';
const PARTS = 4;

/**
 * Formats a stream id that contains the owner and the timeout, so that any entry VM can tell when
 * the stream is orphaned.
 *
 * @example
 * formatStreamId({ vmId: 'entry-a1', incarnation: 7, timeoutMs: 30_000 }, 'entry-a1.7.12');
 * // 'entry-a1~7~30000~entry-a1.7.12'
 */
export const formatStreamId = (owner: StreamOwner, attemptId: string): string =>
  [owner.vmId, owner.incarnation, Math.ceil(owner.timeoutMs), attemptId].join(SEPARATOR);

/**
 * Parses an id that `formatStreamId` created.
 *
 * @returns undefined for the id of a stream that no entry VM started
 */
export const parseStreamId = (streamId: string): StreamOwner | undefined => {
  const parts = streamId.split(SEPARATOR);
  const [vmId = '', incarnation, timeoutMs] = parts;
  const owner = { vmId, incarnation: Number(incarnation), timeoutMs: Number(timeoutMs) };
  const isValid =
    parts.length === PARTS &&
    vmId !== '' &&
    Number.isSafeInteger(owner.incarnation) &&
    Number.isSafeInteger(owner.timeoutMs);
  return isValid ? owner : undefined;
};
