import { resultCodes } from '@savorywind/model';
import { sendRefusal } from '../json-responses.js';
import { MS_PER_S, REQUEST_ID_HEADER } from '../consts.js';
import type { ResponseWriter } from '../types.js';
import { RESPONSE_FORMATS, formatUsage } from './response-formats.js';
import { FINISH_REASONS, type ModelResponseOptions } from './streamed-response-writer.js';

/**
 * Buffers a completion and sends it as one JSON response. A completion above the size limit is
 * refused, and the request is cancelled through `abandon`.
 */
export const createBufferedResponseWriter = (
  options: ModelResponseOptions,
  abandon: () => void,
): ResponseWriter => {
  const { response, responseStream, requestId, model, format, createdAtMs } = options;
  const { completionObject, formatCompletionChoice } = RESPONSE_FORMATS[format];
  const parts: string[] = [];
  let bytes = 0;
  return {
    sendHead: () => {},
    sendChunk: (data) => {
      bytes += Buffer.byteLength(data);
      if (bytes <= options.maxWholeAnswerBytes) {
        parts.push(data as string);
        return;
      }
      abandon();
      sendRefusal(response, requestId, { code: resultCodes.answerTooLarge, ran: 'yes' });
    },
    finish: (reason, usage) => {
      const body = JSON.stringify({
        id: requestId,
        object: completionObject,
        created: Math.floor(createdAtMs / MS_PER_S),
        model,
        choices: [formatCompletionChoice(parts.join(''), FINISH_REASONS[reason])],
        usage: formatUsage(usage),
      });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [REQUEST_ID_HEADER]: requestId,
      });
      responseStream.end(body);
    },
    refuse: (refusal) => sendRefusal(response, requestId, refusal),
  };
};
