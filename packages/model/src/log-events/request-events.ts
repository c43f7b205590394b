import { defineEvents } from './define-events.js';

/** Events 200 to 299: life cycle of requests. */
export const requestEvents = defineEvents({
  requestAdmitted: [201, 'debug', 'request admitted'],
  requestFinished: [202, 'info', 'request finished'],
  requestRefused: [203, 'info', 'request refused'],
  attemptFailed: [204, 'warn', 'attempt at an endpoint failed'],
  attemptRetried: [205, 'info', 'request goes to an endpoint again'],
  answerDiverged: [206, 'warn', 'regenerated answer differs from what the caller has received'],
  claimInDoubt: [207, 'warn', 'claim could not be read back; its call was not sent'],
  claimUnsettled: [208, 'warn', 'result of a claim could not be written yet'],
  callerGone: [209, 'info', 'caller went away; its claimed call runs on to store the answer'],
  requestRejected: [251, 'info', 'request refused before it was admitted'],
  callerTooSlow: [252, 'info', 'caller was given up because it did not read its answer'],
});
