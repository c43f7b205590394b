import { resultCodes } from '@savorywind/model';
import { sendRefusal } from '../answers.js';
import { MS_PER_S, REQUEST_ID_HEADER } from '../consts.js';
import type { CallerExchange } from '../types.js';
import { ANSWER_FORMATS, formatUsage } from './answer-formats.js';
import { FINISH_REASONS, type ModelExchangeOptions } from './streamed-exchange.js';

/**
 * Gathers a model answer and sends it whole. An answer over the limit is refused, and the request
 * cancelled through `abandon`.
 */
export const createWholeExchange = (
  options: ModelExchangeOptions,
  abandon: () => void,
): CallerExchange => {
  const { response, output, requestId, model, format, createdAtMs } = options;
  const { wholeObject, formatWholeChoice } = ANSWER_FORMATS[format];
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
        object: wholeObject,
        created: Math.floor(createdAtMs / MS_PER_S),
        model,
        choices: [formatWholeChoice(parts.join(''), FINISH_REASONS[reason])],
        usage: formatUsage(usage),
      });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [REQUEST_ID_HEADER]: requestId,
      });
      output.end(body);
    },
    refuse: (refusal) => sendRefusal(response, requestId, refusal),
  };
};
