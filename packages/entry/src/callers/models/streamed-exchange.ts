import type { ServerResponse } from 'node:http';
import type { FinishReason } from '@savorywind/decisions';
import { formatRefusal, sendRefusal } from '../answers.js';
import type { CallerOutput } from '../caller-output.js';
import { MS_PER_S, REQUEST_ID_HEADER } from '../consts.js';
import type { CallerExchange } from '../types.js';
import { ANSWER_FORMATS, formatUsage } from './answer-formats.js';
import type { ModelFormat } from './types.js';

export interface ModelExchangeOptions {
  readonly response: ServerResponse;
  readonly output: CallerOutput;
  readonly requestId: string;
  readonly model: string;
  readonly format: ModelFormat;
  readonly includeUsage: boolean;
  readonly createdAtMs: number;
  readonly maxWholeAnswerBytes: number;
}

/** The reason that a model answer's format knows for each way to end. */
export const FINISH_REASONS: Readonly<Record<FinishReason, string>> = {
  stop: 'stop',
  length: 'length',
  complete: 'stop',
};

const formatEvent = (json: string): string => `data: ${json}\n\n`;

/** Streams a model answer as server-sent events. */
export const createStreamedExchange = (options: ModelExchangeOptions): CallerExchange => {
  const { response, output, requestId, model, format, includeUsage, createdAtMs } = options;
  const { chunkObject, chunkChoice, firstChoice, formatEndChoice } = ANSWER_FORMATS[format];
  const base = {
    id: requestId,
    object: chunkObject,
    created: Math.floor(createdAtMs / MS_PER_S),
    model,
  };
  // Each token's event is put together from fixed pieces; only the text itself is encoded.
  const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[`;
  const suffix = includeUsage ? '],"usage":null}\n\n' : ']}\n\n';
  const later = { before: prefix + chunkChoice[0], after: chunkChoice[1] + suffix };
  let next = { before: prefix + firstChoice[0], after: firstChoice[1] + suffix };
  let begun = false;
  // A long prompt's first token may be minutes away, so the caller's client sees the head before; but
  // not in a packet of its own where the first tokens come right behind.
  const flushHead = (): void => {
    if (!begun && !response.destroyed) response.flushHeaders();
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
      begun = true;
      output.write(next.before + JSON.stringify(data) + next.after);
      next = later;
    },
    finish: (reason, usage) => {
      begun = true;
      const choice = JSON.stringify(formatEndChoice(FINISH_REASONS[reason]));
      const last = formatEvent(JSON.stringify({ ...base, choices: [], usage: formatUsage(usage) }));
      output.end(`${prefix}${choice}${suffix}${includeUsage ? last : ''}${formatEvent('[DONE]')}`);
    },
    refuse: (refusal) => {
      if (response.headersSent) {
        begun = true;
        output.end(formatEvent(JSON.stringify(formatRefusal(requestId, refusal))));
      } else {
        sendRefusal(response, requestId, refusal);
      }
    },
  };
};
