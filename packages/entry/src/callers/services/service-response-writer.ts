import type { ServerResponse } from 'node:http';
import type { RequestId } from '@savorywind/model';
import { sendRefusal } from '../json-responses.js';
import type { ResponseStream } from '../response-stream.js';
import { REQUEST_ID_HEADER } from '../consts.js';
import type { ResponseWriter } from '../types.js';

const BAD_GATEWAY = 502;

/**
 * Forwards the response of a plain service. If the service fails after the head was sent, the caller's
 * connection is destroyed, so that the caller can detect the truncated body.
 */
export const createServiceResponseWriter = (
  response: ServerResponse,
  responseStream: ResponseStream,
  requestId: RequestId,
): ResponseWriter => ({
  sendHead: (head) => {
    const headers = { ...head?.headers, [REQUEST_ID_HEADER]: requestId };
    response.writeHead(head?.status ?? BAD_GATEWAY, headers);
    response.flushHeaders();
  },
  sendChunk: (data) => responseStream.write(data),
  finish: () => responseStream.end(),
  refuse: (refusal) => {
    if (response.headersSent) response.destroy();
    else sendRefusal(response, requestId, refusal);
  },
});
