import * as z from 'zod';
import { Ok, type Refusal, type Result } from '@savorywind/model';
import { estimateTokens } from '../prompt-size.js';
import { commonFields, findUnsupportedOption, refuseField, refuseOption } from './common-fields.js';
import type { ModelAsk } from './types.js';

const tokenIds = z.array(z.number().int().nonnegative()).min(1);

const textSchema = z.object({
  ...commonFields,
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

const readPrompt = (prompt: TextBody['prompt']): Pick<ModelAsk, 'promptTokens' | 'promptParts'> => {
  const only = Array.isArray(prompt) && typeof prompt[0] !== 'number' ? prompt[0] : prompt;
  if (typeof only === 'string') {
    return { promptTokens: estimateTokens([only]), promptParts: [only] };
  }
  const ids = only as readonly number[];
  return { promptTokens: ids.length, promptParts: [ids.join(' ')] };
};

/** Reads the body of a text completion; fields that savorywind does not know go on to the engine. */
export const parseTextBody = (value: unknown): Result<ModelAsk, Refusal> => {
  const parsed = textSchema.safeParse(value);
  if (!parsed.success) return refuseField(parsed.error);
  const body = parsed.data;
  const unsupported = findUnsupportedTextOption(body);
  if (unsupported !== undefined) return refuseOption(unsupported);
  return Ok({
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maxOutputTokens: body.max_tokens ?? undefined,
    ...readPrompt(body.prompt),
  });
};
