import type { AnswerUsage } from '@savorywind/decisions';
import type { ModelFormat } from './types.js';

/** Names that the two kinds of model answers give to the same things. */
export interface AnswerFormat {
  readonly chunkObject: string;
  readonly wholeObject: string;
  /** A choice that carries text, up to and after the text's JSON. */
  readonly chunkChoice: readonly [before: string, after: string];
  /** The same for the first text of an answer. */
  readonly firstChoice: readonly [before: string, after: string];
  formatEndChoice(reason: string): object;
  formatWholeChoice(text: string, reason: string): object;
}

export const ANSWER_FORMATS: Readonly<Record<ModelFormat, AnswerFormat>> = {
  chat: {
    chunkObject: 'chat.completion.chunk',
    wholeObject: 'chat.completion',
    firstChoice: [
      '{"index":0,"delta":{"role":"assistant","content":',
      '},"logprobs":null,"finish_reason":null}',
    ],
    chunkChoice: ['{"index":0,"delta":{"content":', '},"logprobs":null,"finish_reason":null}'],
    formatEndChoice: (reason) => ({ index: 0, delta: {}, logprobs: null, finish_reason: reason }),
    formatWholeChoice: (text, reason) => ({
      index: 0,
      message: { role: 'assistant', content: text, refusal: null },
      logprobs: null,
      finish_reason: reason,
    }),
  },
  text: {
    chunkObject: 'text_completion',
    wholeObject: 'text_completion',
    firstChoice: ['{"index":0,"text":', ',"logprobs":null,"finish_reason":null}'],
    chunkChoice: ['{"index":0,"text":', ',"logprobs":null,"finish_reason":null}'],
    formatEndChoice: (reason) => ({ index: 0, text: '', logprobs: null, finish_reason: reason }),
    formatWholeChoice: (text, reason) => ({
      index: 0,
      text,
      logprobs: null,
      finish_reason: reason,
    }),
  },
};

export const formatUsage = (usage: AnswerUsage | undefined): object => {
  const { promptTokens = 0, outputTokens = 0 } = usage ?? {};
  return {
    prompt_tokens: promptTokens,
    completion_tokens: outputTokens,
    total_tokens: promptTokens + outputTokens,
  };
};
