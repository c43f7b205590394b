import { defineEvents } from './define-events.js';

/** 200 to 299: the life of a request. */
export const requestEvents = defineEvents({
  requestAdmitted: [201, 'debug', 'request admitted'],
  requestFinished: [202, 'info', 'request finished'],
  requestRefused: [203, 'info', 'request refused'],
  requestRejected: [205, 'info', 'request refused before it was admitted'],
  callerTooSlow: [206, 'info', 'caller was given up because it did not read its answer'],
  attemptFailed: [204, 'warn', 'attempt at an endpoint failed'],
});
