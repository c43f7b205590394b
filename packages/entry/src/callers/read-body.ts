import type { IncomingMessage } from 'node:http';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';

/** Reads a body up to a limit, in bytes; a longer one is refused as soon as it is seen. */
export const readBody = (
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Refusal>> =>
  new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > maxBytes) resolve(Err({ code: resultCodes.bodyTooLarge, ran: 'no' }));
      else parts.push(part);
    });
    request.on('end', () => resolve(Ok(Buffer.concat(parts))));
    request.on('error', () => resolve(Err({ code: resultCodes.invalidJson, ran: 'no' })));
  });
