import * as z from 'zod';
import { Err, resultCodes, type Refusal, type Result } from '@savorywind/model';

const MAX_OUTPUT_TOKENS = 100_000_000;

/** Schema of a maximum number of output tokens. */
export const tokenLimit = z.number().int().positive().max(MAX_OUTPUT_TOKENS).nullish();

/** Schemas of the fields that chat and text completions share. */
export const commonFieldSchemas = {
  model: z.string().min(1).max(256),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: tokenLimit,
  n: z.number().int().nullish(),
  logprobs: z.union([z.boolean(), z.number()]).nullish(),
};

interface CommonOptions {
  readonly stream?: boolean | null | undefined;
  readonly stream_options?: object | null | undefined;
  readonly n?: number | null | undefined;
  readonly logprobs?: boolean | number | null | undefined;
}

/** Describes the first option that engines do not support; undefined if all are supported. */
export const findUnsupportedOption = (body: CommonOptions): string | undefined => {
  if ((body.n ?? 1) !== 1) return 'n: only 1 is supported';
  if ((body.logprobs ?? false) !== false) return 'logprobs is not supported';
  if (body.stream_options && !body.stream) return 'stream_options: only with stream';
  return undefined;
};

/** Refuses a body with the path of its first invalid field, without repeating the field's value. */
export const refuseInvalidBody = (error: z.ZodError): Result<never, Refusal> => {
  const [issue] = error.issues;
  const path = issue?.path.join('.') ?? '';
  const location = path === '' ? 'the body' : path;
  const problem = issue?.code === 'invalid_type' ? `expected ${issue.expected}` : issue?.code;
  return Err({ code: resultCodes.invalidField, ran: 'no', detail: `${location}: ${problem}` });
};

export const refuseUnsupportedOption = (detail: string): Result<never, Refusal> =>
  Err({ code: resultCodes.unsupportedOption, ran: 'no', detail });
