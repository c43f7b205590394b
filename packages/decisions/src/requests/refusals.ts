import { resultCodes, type Refusal, type ResultCode } from '@savorywind/model';
import { FAILURE_RETRY_AFTER_MS } from './consts.js';
import { RAN_IN_STATE, mergeRan } from './outcome-tables.js';
import { describeRepeatability, isRepeatable } from './recovery.js';
import type { RequestRecord } from './types.js';

/** Adds a retry-after time if the request did not run or may safely run again. */
const createRefusal = (record: RequestRecord, code: ResultCode): Refusal => {
  const { ran } = record;
  if (ran !== 'no' && !isRepeatable(record)) return { code, ran };
  return { code, ran, retryAfterMs: FAILURE_RETRY_AFTER_MS };
};

/** Creates the refusal of a request whose attempts have failed. */
export const createFailureRefusal = (record: RequestRecord): Refusal => {
  if (record.hasSentHead) return createRefusal(record, resultCodes.answerTruncated);
  const isClaimed = describeRepeatability(record) === 'claimedCall';
  const isOutcomeUnknown = isClaimed && record.ran !== 'no';
  const code = isOutcomeUnknown ? resultCodes.outcomeUnknown : resultCodes.endpointFailed;
  return createRefusal(record, code);
};

/** Creates the refusal of a request whose deadline has passed; updates `ran` in the record. */
export const createTimeoutRefusal = (record: RequestRecord): Refusal => {
  record.ran = mergeRan(record.ran, RAN_IN_STATE[record.state]);
  return createRefusal(record, resultCodes.timeout);
};

/** Creates the refusal of a request for which no endpoint is usable. */
export const createNoEndpointRefusal = (record: RequestRecord): Refusal =>
  createRefusal(record, resultCodes.noEndpoint);
