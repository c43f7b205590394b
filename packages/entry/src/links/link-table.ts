import type { EntryVm, EntryVmId, MonotonicMs } from '@savorywind/model';
import type { LinkConnection } from './link-connection.js';

/** A connection whose peer has said hello. */
export interface OpenLink {
  readonly peer: EntryVm;
  readonly connection: Pick<LinkConnection, 'close' | 'direction' | 'send'>;
  readonly openedAtMs: MonotonicMs;
}

const findDialler = (self: EntryVmId, link: OpenLink): EntryVmId =>
  link.connection.direction === 'outgoing' ? self : link.peer.id;

/**
 * Decides between two connections with one peer, so that both ends keep the same one: the newer
 * incarnation; else the newer connection of one dialler, which dials again only after a loss; else
 * the one that the lower id dialled.
 *
 * @example
 * if (!isReplacement('entry-a1', open, candidate)) candidate.connection.close('replaced');
 */
export const isReplacement = (self: EntryVmId, open: OpenLink, candidate: OpenLink): boolean => {
  if (candidate.peer.incarnation !== open.peer.incarnation) {
    return candidate.peer.incarnation > open.peer.incarnation;
  }
  const dialler = findDialler(self, candidate);
  if (dialler === findDialler(self, open)) return true;
  return dialler < (dialler === self ? open.peer.id : self);
};
