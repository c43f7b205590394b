import type { EntryVm, EntryVmId, MonotonicMs } from '@savorywind/model';
import type { LinkConnection } from './link-connection.js';

/** A connection whose peer has identified itself with its hello frame. */
export interface OpenLink {
  readonly peer: EntryVm;
  readonly connection: Pick<LinkConnection, 'close' | 'direction' | 'send'>;
  readonly openedAtMs: MonotonicMs;
}

/** Finds the entry VM that opened the connection. */
const findInitiator = (self: EntryVmId, link: OpenLink): EntryVmId =>
  link.connection.direction === 'outgoing' ? self : link.peer.id;

/**
 * Decides which of two connections with the same peer to keep, so that both ends keep the same one.
 * The connection with the newer incarnation of the peer wins. If the same VM opened both, the newer
 * connection wins, because a VM only connects again after it has lost its connection. Otherwise the
 * connection that the VM with the lower id opened wins.
 *
 * @example
 * if (!isReplacement('entry-a1', open, candidate)) candidate.connection.close('replaced');
 *
 * @returns true if the candidate replaces the open link
 */
export const isReplacement = (self: EntryVmId, open: OpenLink, candidate: OpenLink): boolean => {
  if (candidate.peer.incarnation !== open.peer.incarnation) {
    return candidate.peer.incarnation > open.peer.incarnation;
  }
  const initiator = findInitiator(self, candidate);
  if (initiator === findInitiator(self, open)) return true;
  return initiator < (initiator === self ? open.peer.id : self);
};
