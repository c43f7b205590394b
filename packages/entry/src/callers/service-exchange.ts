import type { ServerResponse } from 'node:http';
import type { RequestId } from '@savorywind/model';
import { REQUEST_ID_HEADER, sendRefusal } from './answers.js';
import type { CallerExchange } from './types.js';

/** Passes a plain service's answer on; one that breaks off ends with a broken connection. */
export const createServiceExchange = (
  response: ServerResponse,
  requestId: RequestId,
): CallerExchange => ({
  sendHead: (head) => {
    const headers = { ...head?.headers, [REQUEST_ID_HEADER]: requestId };
    response.writeHead(head?.status ?? 502, headers);
  },
  sendChunk: (data) => {
    response.write(data);
  },
  finish: () => {
    response.end();
  },
  refuse: (refusal) => {
    if (response.headersSent) response.destroy();
    else sendRefusal(response, requestId, refusal);
  },
});
