import { z } from 'zod';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';

const contentPart = z.object({ type: z.literal('text'), text: z.string() });

const chatSchema = z.object({
  model: z.string(),
  messages: z
    .array(
      z.object({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPart)]),
      }),
    )
    .min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
});

export type ChatBody = z.output<typeof chatSchema>;

/** Reads the body of a chat completion; fields that savorywind does not know go on to the engine. */
export const parseChatBody = (body: Buffer): Result<ChatBody, Refusal> => {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    return Err({ code: resultCodes.invalidJson, ran: 'no' });
  }
  const parsed = chatSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  const detail = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
  return Err({ code: resultCodes.invalidField, ran: 'no', detail });
};

/** Bytes of text that stand for one token where the model's tokenizer is not at hand. */
const BYTES_PER_TOKEN = 4;

/** Estimates the length of a prompt in tokens from the size of its text. */
export const estimatePromptTokens = ({ messages }: ChatBody): number => {
  const texts = messages.flatMap(({ content }) =>
    typeof content === 'string' ? [content] : content.map(({ text }) => text),
  );
  const bytes = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
  return Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN));
};
