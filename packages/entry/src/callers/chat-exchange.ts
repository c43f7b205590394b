import type { ServerResponse } from 'node:http';
import type { ModelContract } from '@savorywind/model';
import { formatRefusal, REQUEST_ID_HEADER, sendRefusal } from './answers.js';
import type { CallerExchange } from './types.js';

const MS_PER_S = 1_000;

/** Streams a chat completion as server-sent events. */
export const createStreamedChat = (
  response: ServerResponse,
  contract: ModelContract,
  createdAtMs: number,
): CallerExchange => {
  const { requestId, model } = contract;
  const base = {
    id: requestId,
    object: 'chat.completion.chunk',
    created: Math.floor(createdAtMs / MS_PER_S),
    model,
  };
  const sendEvent = (event: object): void => {
    response.write(`data: ${JSON.stringify(event)}\n\n`);
  };
  return {
    sendHead: () => {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        [REQUEST_ID_HEADER]: requestId,
      });
    },
    sendChunk: (data) => {
      const delta = { role: 'assistant', content: data as string };
      sendEvent({ ...base, choices: [{ index: 0, delta, finish_reason: null }] });
    },
    finish: (reason, usage) => {
      sendEvent({
        ...base,
        choices: [{ index: 0, delta: {}, finish_reason: reason }],
        usage: {
          prompt_tokens: usage?.promptTokens ?? 0,
          completion_tokens: usage?.outputTokens ?? 0,
          total_tokens: (usage?.promptTokens ?? 0) + (usage?.outputTokens ?? 0),
        },
      });
      response.end('data: [DONE]\n\n');
    },
    refuse: (refusal) => {
      if (!response.headersSent) {
        sendRefusal(response, requestId, refusal);
        return;
      }
      sendEvent(formatRefusal(requestId, refusal));
      response.end();
    },
  };
};

/** Gathers a chat completion and answers it whole. */
export const createWholeChat = (
  response: ServerResponse,
  contract: ModelContract,
  createdAtMs: number,
): CallerExchange => {
  const { requestId, model } = contract;
  const parts: string[] = [];
  return {
    sendHead: () => {},
    sendChunk: (data) => {
      parts.push(data as string);
    },
    finish: (reason, usage) => {
      response.writeHead(200, {
        'content-type': 'application/json',
        [REQUEST_ID_HEADER]: requestId,
      });
      const message = { role: 'assistant', content: parts.join('') };
      response.end(
        JSON.stringify({
          id: requestId,
          object: 'chat.completion',
          created: Math.floor(createdAtMs / MS_PER_S),
          model,
          choices: [{ index: 0, message, finish_reason: reason }],
          usage: {
            prompt_tokens: usage?.promptTokens ?? 0,
            completion_tokens: usage?.outputTokens ?? 0,
            total_tokens: (usage?.promptTokens ?? 0) + (usage?.outputTokens ?? 0),
          },
        }),
      );
    },
    refuse: (refusal) => sendRefusal(response, requestId, refusal),
  };
};
