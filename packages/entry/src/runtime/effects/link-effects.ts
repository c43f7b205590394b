import type { EntryLinks } from '../../links/entry-links.js';
import type { TopicHandlers } from './types.js';

/** Opens and closes links to other entry VMs, and sends messages on them. */
export const createLinkEffects = (links: EntryLinks): TopicHandlers<'link'> => ({
  'link.open': ({ vm }) => links.open(vm),
  'link.close': ({ peer }) => links.close(peer),
  'link.send': ({ peer, message }) => links.send(peer, message),
});
