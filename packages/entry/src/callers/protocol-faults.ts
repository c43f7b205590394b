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

/** Connections on which an answer has begun; nothing else may be written there. */
export class AnsweringSockets {
  private readonly answering = new WeakMap<Duplex, number>();

  add(socket: Duplex): void {
    this.answering.set(socket, this.count(socket) + 1);
  }

  remove(socket: Duplex): void {
    this.answering.set(socket, this.count(socket) - 1);
  }

  has(socket: Duplex): boolean {
    return this.count(socket) > 0;
  }

  private count(socket: Duplex): number {
    return this.answering.get(socket) ?? 0;
  }
}

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
