import type { Duplex } from 'node:stream';
import { resultCodes, type Refusal } from '@savorywind/model';
import { formatRawRefusal } from './answers.js';
import { SOON_RETRY_MS } from './consts.js';
import type { CallerGateway } from './types.js';

const malformed: Refusal = { code: resultCodes.malformedRequest, ran: 'no' };

/** Refusals by the code of the error that Node's HTTP parser reports. */
const REFUSALS: Readonly<Record<string, Refusal>> = {
  HPE_HEADER_OVERFLOW: { code: resultCodes.headersTooLarge, ran: 'no' },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: resultCodes.requestTooSlow,
    ran: 'no',
    retryAfterMs: SOON_RETRY_MS,
  },
};

/** Answers a connection whose bytes are no HTTP request, and closes it. */
export const refuseConnection = (
  gateway: CallerGateway,
  socket: Duplex,
  error: NodeJS.ErrnoException,
  mayAnswer: boolean,
): void => {
  if (error.code === 'ECONNRESET' || !socket.writable || !mayAnswer) {
    socket.destroy();
    return;
  }
  const requestId = gateway.createRequestId();
  const refusal = REFUSALS[error.code ?? ''] ?? malformed;
  gateway.recordRefusal(requestId, refusal);
  socket.end(formatRawRefusal(requestId, refusal), () => socket.destroy());
};
