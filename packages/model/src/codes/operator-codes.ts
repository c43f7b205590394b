import { defineCodes } from './define-codes.js';

/** Codes 5000 to 5999: operators and configuration. */
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
    'The change may or may not be committed; apply with the same change id tells.',
  ],
  changeNotCommitted: [
    5004,
    503,
    'Change not committed',
    'The table service could not be reached; nothing was committed.',
    'Run apply again when the platform is back; the same change id is safe.',
  ],
  tooManyChanges: [
    5005,
    429,
    'Too many changes in progress',
    'This entry VM is committing as many changes as it takes at once.',
    'Try again, or name another entry VM with --entry.',
  ],
  changeIdReused: [
    5006,
    409,
    'Change id reused',
    'The change id was used before for another configuration.',
    'Use a new change id; the command line makes one unless --change-id is given.',
  ],
  operatorUnauthorized: [
    5007,
    401,
    'Operator not authorized',
    'The credential is missing or unknown to this entry VM.',
    'Set SAVORYWIND_CREDENTIAL or --credential-file to a credential that the settings name.',
  ],
  invalidOperatorCall: [
    5008,
    400,
    'Invalid operator call',
    'The call to the operators interface is not well formed.',
    'See docs/operators/command-line.md.',
  ],
  unknownVersion: [
    5009,
    404,
    'Unknown version',
    'No committed configuration has this version.',
    'savorywind history lists the versions.',
  ],
  historyUnavailable: [
    5010,
    503,
    'History unavailable',
    'The table service did not answer, so that the history can not be read.',
    'Try again when the platform is back; entry VMs serve on meanwhile.',
  ],
});
