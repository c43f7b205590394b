import { defineRefusals } from './define-codes.js';
import type { CodeOutcome } from './types.js';

const DEFAULT_OUTCOME: CodeOutcome = { ran: ['no'], retry: 'afterHeader' };

/** Codes 2000 to 2999: the request is valid but can't be served now. */
export const routingCodes = defineRefusals(DEFAULT_OUTCOME, {
  noEndpoint: [
    2001,
    503,
    'No endpoint',
    'No endpoint in reach serves this model or service.',
    'Ask again after Retry-After.',
  ],
  overloaded: [
    2002,
    429,
    'Overloaded',
    'The request could not finish within its time at the present load.',
    'Ask again after Retry-After, or with a longer timeout.',
  ],
  teamLimit: [
    2003,
    429,
    'Team limit reached',
    'The team has reached one of its limits.',
    'Ask again after Retry-After.',
  ],
  promptTooLong: [
    2004,
    422,
    'Prompt too long',
    'The prompt does not fit the engines that serve this model.',
    'Shorten the prompt.',
    { ran: ['no'], retry: 'never' },
  ],
  draining: [
    2005,
    503,
    'Entry VM is leaving',
    'This entry VM takes no new requests.',
    'Ask again at once; the balancer picks another entry VM.',
  ],
  notReady: [
    2006,
    503,
    'Entry VM is not ready',
    'This entry VM has no configuration yet.',
    'Ask again after Retry-After.',
  ],
});
