import type { AnswerUsage } from '@savorywind/decisions';
import type { CompletionFormat } from './types.js';

/** Object names and choice encodings in which chat and text completions differ. */
export interface ResponseFormat {
  /** Value of `object` in a streamed chunk. */
  readonly chunkObject: string;
  /** Value of `object` in a non-streamed completion. */
  readonly completionObject: string;
  /** JSON of a streamed choice, before and after its JSON-encoded text. */
  readonly chunkChoice: readonly [before: string, after: string];
  /** The same for the first chunk of a response, which also carries the role of a chat message. */
  readonly firstChunkChoice: readonly [before: string, after: string];
  /** Choice of the last chunk, which has a finish reason and no text. */
  formatFinalChoice(reason: string): object;
  formatCompletionChoice(text: string, reason: string): object;
}

export const RESPONSE_FORMATS: Readonly<Record<CompletionFormat, ResponseFormat>> = {
  chat: {
    chunkObject: 'chat.completion.chunk',
    completionObject: 'chat.completion',
    firstChunkChoice: [
      '{"index":0,"delta":{"role":"assistant","content":',
      '},"logprobs":null,"finish_reason":null}',
    ],
    chunkChoice: ['{"index":0,"delta":{"content":', '},"logprobs":null,"finish_reason":null}'],
    formatFinalChoice: (reason) => ({ index: 0, delta: {}, logprobs: null, finish_reason: reason }),
    formatCompletionChoice: (text, reason) => ({
      index: 0,
      message: { role: 'assistant', content: text, refusal: null },
      logprobs: null,
      finish_reason: reason,
    }),
  },
  text: {
    chunkObject: 'text_completion',
    completionObject: 'text_completion',
    firstChunkChoice: ['{"index":0,"text":', ',"logprobs":null,"finish_reason":null}'],
    chunkChoice: ['{"index":0,"text":', ',"logprobs":null,"finish_reason":null}'],
    formatFinalChoice: (reason) => ({ index: 0, text: '', logprobs: null, finish_reason: reason }),
    formatCompletionChoice: (text, reason) => ({
      index: 0,
      text,
      logprobs: null,
      finish_reason: reason,
    }),
  },
};

/** Formats the token counts; counts that are not known are 0. */
export const formatUsage = (usage: AnswerUsage | undefined): object => {
  const { promptTokens = 0, outputTokens = 0, cachedTokens } = usage ?? {};
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
    ...(typeof cachedTokens !== 'number'
      ? {}
      : { prompt_tokens_details: { cached_tokens: cachedTokens } }),
  };
};
