import type { IncomingMessage, ServerResponse } from 'node:http';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import type { BodyBudget } from './body-budget.js';
import { SOON_RETRY_MS } from './consts.js';

const tooLarge: Refusal = { code: resultCodes.bodyTooLarge, ran: 'no' };

const buffersFull: Refusal = {
  code: resultCodes.buffersFull,
  ran: 'no',
  retryAfterMs: SOON_RETRY_MS,
};

const brokenOff: Refusal = { code: resultCodes.malformedRequest, ran: 'no' };

/**
 * Reads a body up to a limit, in bytes. A longer one is refused as soon as it is seen, and the rest
 * of it is read and dropped. The memory is given back when the answer is done.
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
      refuse(tooLarge);
      return;
    }
    response.on('close', release);
    request.on('data', (part: Buffer) => {
      if (size + part.length > maxBytes) {
        refuse(tooLarge);
      } else if (!budget.take(part.length)) {
        refuse(buffersFull);
      } else {
        size += part.length;
        parts.push(part);
      }
    });
    request.on('end', () => {
      const body = parts.length === 1 ? parts[0] : undefined;
      resolve(Ok(body ?? Buffer.concat(parts)));
      // The listeners live as long as the answer; they must not keep a second copy.
      parts = [];
    });
    request.on('error', () => refuse(brokenOff));
  });
