import type { EngineCall, EngineReply } from '@savorywind/decisions';
import * as z from 'zod';
import { parseReply } from '../replies/parse-reply.js';

const nonNegative = z.number().nonnegative();

const streamsSchema = z.object({
  streams: z.array(
    z.object({
      streamId: z.string(),
      memoryTokens: nonNegative,
      attached: z.boolean(),
      ageMs: nonNegative,
    }),
  ),
});

const loadSchema = z.object({
  usedMemoryTokens: nonNegative,
  runningStreams: nonNegative,
  queuedPromptTokens: nonNegative,
});

const placementSchema = z.object({
  model: z.string(),
  version: z.string(),
  role: z.enum(['prefill', 'decode', 'mixed']),
  adapters: z.array(z.string()),
});

const ordersSchema = z.object({
  placement: placementSchema,
  loading: placementSchema.nullish().transform((loading) => loading ?? undefined),
  fencing: z
    .number()
    .nullish()
    .transform((fencing) => fencing ?? undefined),
});

type ReplyParser = (text: string) => EngineReply | undefined;

/** Parses the reply to each kind of engine call; undefined if the reply is invalid. */
export const parseEngineReply: Readonly<Record<EngineCall['kind'], ReplyParser>> = {
  'streams.list': (text) => {
    const reply = parseReply(text, streamsSchema);
    return reply && { kind: 'streams', streams: reply.streams };
  },
  'stream.cancel': () => ({ kind: 'done' }),
  'load.read': (text) => {
    const load = parseReply(text, loadSchema);
    return load && { kind: 'load', load };
  },
  'placement.read': (text) => {
    const orders = parseReply(text, ordersSchema);
    return orders && { kind: 'placement', ...orders };
  },
  'order.give': () => ({ kind: 'done' }),
};
