import { defineCodes } from './define-codes.js';

/** Codes 3000 to 3999: the request was admitted but did not get a complete answer. */
export const lifecycleCodes = defineCodes({
  timeout: [
    3001,
    504,
    'Timeout',
    'The request did not finish within its time.',
    'Send a longer timeout, or fewer tokens.',
  ],
  endpointFailed: [
    3002,
    502,
    'Endpoint failed',
    'The endpoint failed before the answer was whole.',
    'Ask again where the call is idempotent.',
  ],
  answerTruncated: [
    3003,
    502,
    'Answer truncated',
    'The answer broke off and could not be resumed.',
    'What was received is not whole. Ask again.',
  ],
  answerDiverged: [
    3004,
    502,
    'Answer diverged',
    'The answer broke off, and another engine generated a different one.',
    'What was received is not whole. Ask again.',
  ],
});
