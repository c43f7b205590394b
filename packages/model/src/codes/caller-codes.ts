import { defineCodes } from './define-codes.js';

/** 1000 to 1999: the request itself can't be taken as it stands. */
export const callerCodes = defineCodes({
  invalidJson: [
    1001,
    400,
    'Invalid JSON',
    'The body is not valid JSON.',
    'Send one JSON object, encoded as UTF-8.',
  ],
  invalidField: [
    1002,
    400,
    'Invalid field',
    'A field of the request is missing or has a wrong type.',
    'See the detail for the path of the field.',
  ],
  unknownModel: [
    1003,
    404,
    'Unknown model',
    'No model with this name is declared.',
    'GET /v1/models lists the models.',
  ],
  unknownService: [
    1004,
    404,
    'Unknown service',
    'No service with this name is declared.',
    'Check the path: /services/{service}/...',
  ],
  missingCredential: [
    1005,
    401,
    'Missing credential',
    'The request carries no team credential.',
    'Send Authorization: Bearer CREDENTIAL.',
  ],
  wrongCredential: [
    1006,
    401,
    'Wrong credential',
    'The credential belongs to no team.',
    'Ask your operator for a credential.',
  ],
  unknownRoute: [
    1007,
    404,
    'Unknown route',
    'Nothing is served under this method and path.',
    'See the operators page on the interface for callers.',
  ],
  bodyTooLarge: [
    1008,
    413,
    'Body too large',
    'The body is over the limit of this entry VM.',
    'Send a shorter prompt, or ask your operator about limits.',
  ],
});
