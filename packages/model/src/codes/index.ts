import { callerCodes } from './caller-codes.js';
import { ledgerCodes } from './ledger-codes.js';
import { lifecycleCodes } from './lifecycle-codes.js';
import { operatorCodes } from './operator-codes.js';
import { routingCodes } from './routing-codes.js';

/** The catalogue of result codes. docs/result-codes.md is checked against it. */
export const resultCodes = {
  ...callerCodes,
  ...routingCodes,
  ...lifecycleCodes,
  ...ledgerCodes,
  ...operatorCodes,
} as const;

export type { CodeOutcome, Ran, Refusal, ResultCode, RetryAdvice } from './types.js';
