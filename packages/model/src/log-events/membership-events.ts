import { defineEvents } from './define-events.js';

/** 400 to 499: membership and endpoint health. */
export const membershipEvents = defineEvents({
  peerJoined: [401, 'info', 'entry VM joined'],
  peerLost: [402, 'warn', 'entry VM is not reachable'],
});
