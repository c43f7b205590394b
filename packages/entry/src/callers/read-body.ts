import type { IncomingMessage, ServerResponse } from 'node:http';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import type { BodyBudget } from './body-budget.js';
import { SHORT_RETRY_AFTER_MS } from './consts.js';

const bodyTooLarge: Refusal = { code: resultCodes.bodyTooLarge, ran: 'no' };

const buffersFull: Refusal = {
  code: resultCodes.buffersFull,
  ran: 'no',
  retryAfterMs: SHORT_RETRY_AFTER_MS,
};

const truncated: Refusal = { code: resultCodes.malformedRequest, ran: 'no' };

/**
 * Reads a request body of at most `maxBytes`. The body is refused as soon as its Content-Length or the
 * received bytes exceed that size, or the budget is used up; the rest of it is then discarded. The
 * reserved bytes are released on a refusal, and otherwise when the response closes.
 */
export const readBody = (
  request: IncomingMessage,
  response: ServerResponse,
  maxBytes: number,
  budget: BodyBudget,
): Promise<Result<Buffer, Refusal>> =>
  new Promise((resolve) => {
    let parts: Buffer[] = [];
    let size = 0;
    const release = (): void => {
      budget.release(size);
      size = 0;
      parts = [];
    };
    const refuse = (refusal: Refusal): void => {
      request.removeAllListeners('data');
      request.resume();
      release();
      resolve(Err(refusal));
    };
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      refuse(bodyTooLarge);
      return;
    }
    response.on('close', release);
    request.on('data', (part: Buffer) => {
      if (size + part.length > maxBytes) {
        refuse(bodyTooLarge);
      } else if (!budget.reserve(part.length)) {
        refuse(buffersFull);
      } else {
        size += part.length;
        parts.push(part);
      }
    });
    request.on('end', () => {
      const body = parts.length === 1 ? parts[0] : undefined;
      resolve(Ok(body ?? Buffer.concat(parts)));
      // The listeners live until the response closes and must not retain a second copy of the body.
      parts = [];
    });
    request.on('error', () => refuse(truncated));
  });
