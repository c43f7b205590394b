import type { TopicHandlers } from './types.js';

/** Opens, closes and uses links to other entry VMs. */
export const createLinkEffects = (): TopicHandlers<'link'> => ({
  'link.open': () => {},
  'link.close': () => {},
  'link.send': () => {},
});
