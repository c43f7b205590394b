import { defineEvents } from './define-events.js';

/** Events 600 to 699: release of abandoned streams on engines. */
export const recoveryEvents = defineEvents({
  streamReleased: [601, 'warn', 'stream without an owner was cancelled on its engine'],
});
