import * as z from 'zod';
import { Ok, type Refusal, type Result } from '@savorywind/model';
import { estimateTokens } from '../prompt-size.js';
import {
  commonFields,
  findUnsupportedOption,
  refuseField,
  refuseOption,
  tokenLimit,
} from './common-fields.js';
import type { ModelAsk } from './types.js';

const contentPart = z.object({ type: z.literal('text'), text: z.string() });

const message = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool', 'function']),
  content: z.union([z.string(), z.array(contentPart)]).nullish(),
});

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(message).min(1),
  max_completion_tokens: tokenLimit,
});

const listTexts = ({ content }: z.output<typeof message>): readonly string[] => {
  if (typeof content === 'string') return [content];
  return content?.map(({ text }) => text) ?? [];
};

/** Reads the body of a chat completion; fields that savorywind does not know go on to the engine. */
export const parseChatBody = (value: unknown): Result<ModelAsk, Refusal> => {
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) return refuseField(parsed.error);
  const body = parsed.data;
  const unsupported = findUnsupportedOption(body);
  if (unsupported !== undefined) return refuseOption(unsupported);
  const texts = body.messages.flatMap(listTexts);
  return Ok({
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    promptTokens: estimateTokens(texts),
    promptParts: body.messages.flatMap((entry) => [`\0${entry.role}\0`, ...listTexts(entry)]),
  });
};
