import type { ServerResponse } from 'node:http';
import type { RequestId } from '@savorywind/model';
import { sendRefusal } from '../answers.js';
import type { CallerOutput } from '../caller-output.js';
import { REQUEST_ID_HEADER } from '../consts.js';
import type { CallerExchange } from '../types.js';

const BAD_GATEWAY = 502;

/** Passes a plain service's answer on; one that breaks off ends with a broken connection. */
export const createServiceExchange = (
  response: ServerResponse,
  output: CallerOutput,
  requestId: RequestId,
): CallerExchange => ({
  sendHead: (head) => {
    const headers = { ...head?.headers, [REQUEST_ID_HEADER]: requestId };
    response.writeHead(head?.status ?? BAD_GATEWAY, headers);
    response.flushHeaders();
  },
  sendChunk: (data) => output.write(data),
  finish: () => output.end(),
  refuse: (refusal) => {
    if (response.headersSent) response.destroy();
    else sendRefusal(response, requestId, refusal);
  },
});
