import type { Duplex } from 'node:stream';
import type { CloseReason } from '@savorywind/decisions';

const reasons = new WeakMap<Duplex, CloseReason>();

/** Records why this process closes a connection; without a record, the caller has left. */
export const recordClose = (connection: Duplex, reason: CloseReason): void => {
  reasons.set(connection, reason);
};

/** Finds why this process has closed a connection; undefined if it has not. */
export const findCloseReason = (connection: Duplex): CloseReason | undefined =>
  reasons.get(connection);
