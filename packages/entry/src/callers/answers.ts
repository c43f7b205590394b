import type { ServerResponse } from 'node:http';
import type { Refusal, RequestId } from '@savorywind/model';

const MS_PER_S = 1_000;

export const REQUEST_ID_HEADER = 'x-request-id';

/** The JSON that a refused caller gets; the same shape for every result code. */
export const formatRefusal = (requestId: RequestId, refusal: Refusal): object => ({
  error: {
    code: refusal.code.code,
    type: refusal.code.name,
    message: refusal.code.message,
    hint: refusal.code.hint,
    detail: refusal.detail,
    ran: refusal.ran,
    requestId,
  },
});

/** Answers with a refusal as a whole response. */
export const sendRefusal = (
  response: ServerResponse,
  requestId: RequestId,
  refusal: Refusal,
): void => {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: requestId,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / MS_PER_S));
  }
  response.writeHead(refusal.code.httpStatus, headers);
  response.end(JSON.stringify(formatRefusal(requestId, refusal)));
};
