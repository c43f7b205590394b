import { defineCodes } from './define-codes.js';

/** 5000 to 5999: operators and configuration. */
export const operatorCodes = defineCodes({
  serializationFailure: [
    5001,
    409,
    'Serialization failure',
    'The configuration was changed since the version that this change is based on.',
    'Run plan again, then apply.',
  ],
  invalidConfiguration: [
    5002,
    422,
    'Invalid configuration',
    'The declarations are not valid.',
    'savorywind check names the file and the path.',
  ],
  platformUnavailable: [
    5003,
    503,
    'Platform unavailable',
    'The table service did not answer.',
    'The change may or may not be committed; savorywind history tells.',
  ],
});
