import { resultCodes, type Refusal, type ResultCode } from '@savorywind/model';
import { FAILURE_RETRY_AFTER_MS } from './consts.js';
import { RAN_IN_STATE, mergeRan } from './outcome-tables.js';
import { describeRepeatability, isRepeatable } from './recovery.js';
import type { RequestRecord } from './types.js';

/** Asking again helps where nothing ran, or where a second run does no harm. */
const createRefusal = (record: RequestRecord, code: ResultCode): Refusal => {
  const { ran } = record;
  if (ran !== 'no' && !isRepeatable(record)) return { code, ran };
  return { code, ran, retryAfterMs: FAILURE_RETRY_AFTER_MS };
};

/** The refusal of a request whose attempts have failed. */
export const createFailure = (record: RequestRecord): Refusal => {
  if (record.headSent) return createRefusal(record, resultCodes.answerTruncated);
  const isClaimed = describeRepeatability(record) === 'claimedCall';
  const inDoubt = isClaimed && record.ran !== 'no';
  const code = inDoubt ? resultCodes.outcomeUnknown : resultCodes.endpointFailed;
  return createRefusal(record, code);
};

/** The refusal of a request whose deadline has passed. */
export const createTimeout = (record: RequestRecord): Refusal => {
  record.ran = mergeRan(record.ran, RAN_IN_STATE[record.state]);
  return createRefusal(record, resultCodes.timeout);
};

/** The refusal of a request that no endpoint in reach can serve. */
export const createNoEndpoint = (record: RequestRecord): Refusal =>
  createRefusal(record, resultCodes.noEndpoint);
