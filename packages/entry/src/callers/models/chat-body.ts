import * as z from 'zod';
import { Ok, type Refusal, type Result } from '@savorywind/model';
import { estimatePromptTokens } from '../estimate-prompt-tokens.js';
import {
  commonFieldSchemas,
  findUnsupportedOption,
  refuseInvalidBody,
  refuseUnsupportedOption,
  tokenLimit,
} from './common-field-schemas.js';
import type { CompletionParams } from './types.js';

const textPart = z.object({ type: z.literal('text'), text: z.string() });

const message = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool', 'function']),
  content: z.union([z.string(), z.array(textPart)]).nullish(),
});

const chatSchema = z.object({
  ...commonFieldSchemas,
  messages: z.array(message).min(1),
  max_completion_tokens: tokenLimit,
});

const listTexts = ({ content }: z.output<typeof message>): readonly string[] => {
  if (typeof content === 'string') return [content];
  return content?.map(({ text }) => text) ?? [];
};

/** Parses the body of a chat completion request; unknown fields are passed to the engine unchecked. */
export const parseChatBody = (value: unknown): Result<CompletionParams, Refusal> => {
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) return refuseInvalidBody(parsed.error);
  const body = parsed.data;
  const unsupported = findUnsupportedOption(body);
  if (unsupported !== undefined) return refuseUnsupportedOption(unsupported);
  const texts = body.messages.flatMap(listTexts);
  return Ok({
    model: body.model,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    promptTokens: estimatePromptTokens(texts),
    promptParts: body.messages.flatMap((entry) => [`\0${entry.role}\0`, ...listTexts(entry)]),
  });
};
