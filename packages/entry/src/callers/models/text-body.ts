import * as z from 'zod';
import { Ok, type Refusal, type Result } from '@savorywind/model';
import { estimatePromptTokens } from '../estimate-prompt-tokens.js';
import {
  commonFieldSchemas,
  findUnsupportedOption,
  refuseInvalidBody,
  refuseUnsupportedOption,
} from './common-field-schemas.js';
import type { CompletionParams } from './types.js';

const tokenIds = z.array(z.number().int().nonnegative()).min(1);

const textSchema = z.object({
  ...commonFieldSchemas,
  prompt: z.union([
    z.string(),
    z.array(z.string()).length(1),
    tokenIds,
    z.array(tokenIds).length(1),
  ]),
  best_of: z.number().int().nullish(),
  echo: z.boolean().nullish(),
  suffix: z.string().nullish(),
});

type TextBody = z.output<typeof textSchema>;

const findUnsupportedTextOption = (body: TextBody): string | undefined => {
  if ((body.best_of ?? 1) !== 1) return 'best_of: only 1 is supported';
  if (body.echo === true) return 'echo is not supported';
  if ((body.suffix ?? '') !== '') return 'suffix is not supported';
  return findUnsupportedOption(body);
};

const readPrompt = (
  prompt: TextBody['prompt'],
): Pick<CompletionParams, 'promptTokens' | 'promptParts'> => {
  const singlePrompt = Array.isArray(prompt) && typeof prompt[0] !== 'number' ? prompt[0] : prompt;
  if (typeof singlePrompt === 'string') {
    return { promptTokens: estimatePromptTokens([singlePrompt]), promptParts: [singlePrompt] };
  }
  const ids = singlePrompt as readonly number[];
  return { promptTokens: ids.length, promptParts: [ids.join(' ')] };
};

/** Parses the body of a text completion request; unknown fields are passed to the engine unchecked. */
export const parseTextBody = (value: unknown): Result<CompletionParams, Refusal> => {
  const parsed = textSchema.safeParse(value);
  if (!parsed.success) return refuseInvalidBody(parsed.error);
  const body = parsed.data;
  const unsupported = findUnsupportedTextOption(body);
  if (unsupported !== undefined) return refuseUnsupportedOption(unsupported);
  return Ok({
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maxOutputTokens: body.max_tokens ?? undefined,
    ...readPrompt(body.prompt),
  });
};
