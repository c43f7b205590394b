import { defineEvents } from './define-events.js';

/** 600 to 699: memory of engines that comes back, and groups of engines. */
export const recoveryEvents = defineEvents({
  streamReleased: [601, 'warn', 'stream that nobody holds any more was released'],
});
