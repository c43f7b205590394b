import { defineCodes } from './define-codes.js';

/** Codes 4000 to 4999: at-most-once calls with an idempotency key. */
export const ledgerCodes = defineCodes({
  keyInUse: [
    4001,
    409,
    'Key in use',
    'A call with this idempotency key is running.',
    'Ask again with the same key after Retry-After.',
  ],
  keyReused: [
    4002,
    422,
    'Key reused',
    'The idempotency key was used for a different request.',
    'Use a new key for a new request.',
  ],
  outcomeUnknown: [
    4003,
    502,
    'Outcome unknown',
    'The call was sent and its outcome is not known. It will not run again under this key.',
    'Look up the result in the service before you send a new key.',
  ],
  claimsUnavailable: [
    4004,
    503,
    'Claims unavailable',
    'The claim for this key could not be written. The call was not sent.',
    'Ask again with the same key after Retry-After.',
  ],
  keyRequired: [
    4005,
    400,
    'Key required',
    'The call is not declared idempotent, and its service takes such calls only with a key.',
    'Send Idempotency-Key, or ask your operator for unkeyedCalls: sendOnce.',
  ],
  answerNotStored: [
    4006,
    409,
    'Answer not stored',
    'The call under this key ran and was answered; the answer was too large to be kept.',
    'See the detail for its status, and look up the result in the service.',
  ],
});
