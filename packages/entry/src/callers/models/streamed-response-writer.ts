import type { ServerResponse } from 'node:http';
import type { FinishReason } from '@savorywind/decisions';
import { formatRefusal, sendRefusal } from '../json-responses.js';
import type { ResponseStream } from '../response-stream.js';
import { MS_PER_S, REQUEST_ID_HEADER } from '../consts.js';
import type { ResponseWriter } from '../types.js';
import { RESPONSE_FORMATS, formatUsage } from './response-formats.js';
import type { CompletionFormat } from './types.js';

/** What a response writer needs to know about a completion request. */
export interface ModelResponseOptions {
  readonly response: ServerResponse;
  readonly responseStream: ResponseStream;
  readonly requestId: string;
  readonly model: string;
  readonly format: CompletionFormat;
  readonly includeUsage: boolean;
  /** Unix time, in milliseconds. */
  readonly createdAtMs: number;
  /** Largest non-streamed response, in bytes. */
  readonly maxWholeAnswerBytes: number;
}

/** Value of `finish_reason` for each finish reason of an attempt. */
export const FINISH_REASONS: Readonly<Record<FinishReason, string>> = {
  stop: 'stop',
  length: 'length',
  complete: 'stop',
};

const formatEvent = (json: string): string => `data: ${json}\n\n`;

/** Sends a completion as server-sent events, one for each chunk, followed by `[DONE]`. */
export const createStreamedResponseWriter = (options: ModelResponseOptions): ResponseWriter => {
  const { response, responseStream, requestId, model, format, includeUsage, createdAtMs } = options;
  const { chunkObject, chunkChoice, firstChunkChoice, formatFinalChoice } =
    RESPONSE_FORMATS[format];
  const base = {
    id: requestId,
    object: chunkObject,
    created: Math.floor(createdAtMs / MS_PER_S),
    model,
  };
  // Only the text is JSON-encoded for each chunk; the rest of the event is built once.
  const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[`;
  const suffix = includeUsage ? '],"usage":null}\n\n' : ']}\n\n';
  const laterChunk = { before: prefix + chunkChoice[0], after: chunkChoice[1] + suffix };
  let nextChunk = { before: prefix + firstChunkChoice[0], after: firstChunkChoice[1] + suffix };
  let hasWritten = false;
  // The first token of a long prompt may take minutes, so the head is sent before it. The flush is
  // deferred so that a first chunk that is already there shares a packet with the head.
  const flushHead = (): void => {
    if (!hasWritten && !response.destroyed) response.flushHeaders();
  };
  return {
    sendHead: () => {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        [REQUEST_ID_HEADER]: requestId,
      });
      setImmediate(flushHead);
    },
    sendChunk: (data) => {
      hasWritten = true;
      responseStream.write(nextChunk.before + JSON.stringify(data) + nextChunk.after);
      nextChunk = laterChunk;
    },
    finish: (reason, usage) => {
      hasWritten = true;
      const choice = JSON.stringify(formatFinalChoice(FINISH_REASONS[reason]));
      const usageEvent = formatEvent(
        JSON.stringify({ ...base, choices: [], usage: formatUsage(usage) }),
      );
      responseStream.end(
        `${prefix}${choice}${suffix}${includeUsage ? usageEvent : ''}${formatEvent('[DONE]')}`,
      );
    },
    refuse: (refusal) => {
      if (response.headersSent) {
        hasWritten = true;
        responseStream.end(formatEvent(JSON.stringify(formatRefusal(requestId, refusal))));
      } else {
        sendRefusal(response, requestId, refusal);
      }
    },
  };
};
