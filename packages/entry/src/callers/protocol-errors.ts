import type { Duplex } from 'node:stream';
import { resultCodes, type Refusal } from '@savorywind/model';
import { formatRawRefusal } from './json-responses.js';
import { SHORT_RETRY_AFTER_MS } from './consts.js';
import type { CallerServerContext } from './types.js';

const malformedRequest: Refusal = { code: resultCodes.malformedRequest, ran: 'no' };

/** Refusals by the error code of Node's HTTP server; other errors are reported as a malformed request. */
const REFUSALS_BY_ERROR_CODE: Readonly<Record<string, Refusal>> = {
  HPE_HEADER_OVERFLOW: { code: resultCodes.headersTooLarge, ran: 'no' },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: resultCodes.requestTooSlow,
    ran: 'no',
    retryAfterMs: SHORT_RETRY_AFTER_MS,
  },
};

/**
 * Sends a refusal on a connection on which the HTTP server reported an error, and closes it. If the
 * caller reset the connection or nothing can be written to it, it is closed without a response.
 *
 * @param maySendError false if an error response could be taken for the response to an earlier request;
 *   the connection is then closed without one
 */
export const refuseConnection = (
  context: CallerServerContext,
  socket: Duplex,
  error: NodeJS.ErrnoException,
  maySendError: boolean,
): void => {
  if (error.code === 'ECONNRESET' || !socket.writable || !maySendError) {
    socket.destroy();
    return;
  }
  const requestId = context.createRequestId();
  const refusal = REFUSALS_BY_ERROR_CODE[error.code ?? ''] ?? malformedRequest;
  context.recordRefusal(requestId, refusal);
  socket.end(formatRawRefusal(requestId, refusal), () => socket.destroy());
};
