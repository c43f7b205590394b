import { defineEvents } from './define-events.js';

/** Events 200 to 299: life cycle of requests. */
export const requestEvents = defineEvents({
  requestAdmitted: [201, 'debug', 'request admitted'],
  requestFinished: [202, 'info', 'request finished'],
  requestRefused: [203, 'info', 'request refused'],
  attemptFailed: [204, 'warn', 'attempt at an endpoint failed'],
  attemptRetried: [205, 'info', 'request is retried at an endpoint'],
  answerDiverged: [
    206,
    'warn',
    'regenerated answer differs from the part that the caller has received; request failed',
  ],
  claimInDoubt: [207, 'warn', 'claim could not be read back; its call was not sent'],
  claimUnsettled: [208, 'warn', 'result of a claim could not be written yet; the write is retried'],
  callerGone: [
    209,
    'info',
    'caller disconnected; its claimed call continues so that the answer is stored',
  ],
  prefixNotRetained: [
    210,
    'debug',
    'engine read a prefix again that it was expected to retain; what it used before is forgotten',
  ],
  prefixesForgotten: [211, 'info', 'prefixes of an engine are forgotten, as it may be lost'],
  requestRejected: [251, 'info', 'request refused before it was admitted'],
  callerTooSlow: [252, 'info', 'caller was disconnected because it did not read its answer'],
});
