import { request as sendRequest } from 'node:http';
import { Err, Ok, type Result } from '@savorywind/model';

/** A response of an entry VM's operator API. */
export interface EntryResponse {
  readonly status: number;
  readonly body: unknown;
}

/** `unsent`: no connection was established. `unanswered`: the call may have been executed. */
export type CallFailure = 'unsent' | 'unanswered';

/** A call to the operator API; `body` is sent as JSON. */
export interface EntryCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/** Socket idle timeout of a call; exceeds the time that an entry VM spends on a change. */
const RESPONSE_TIMEOUT_MS = 20_000;

/** Errors that occur before a connection is established, so that nothing can have been sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** Sends one call to an entry VM, without retries. */
export const callEntryVm = (
  entry: URL,
  credential: string,
  { method, path, body }: EntryCall,
): Promise<Result<EntryResponse, CallFailure>> =>
  new Promise((resolve) => {
    const headers = { authorization: `Bearer ${credential}`, 'content-type': 'application/json' };
    const options = { method, headers, timeout: RESPONSE_TIMEOUT_MS };
    const call = sendRequest(new URL(path, entry), options, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => resolve(Err('unanswered')));
      response.on('end', () => {
        try {
          const text = Buffer.concat(parts).toString('utf8');
          resolve(Ok({ status: response.statusCode ?? 0, body: JSON.parse(text) as unknown }));
        } catch {
          resolve(Err('unanswered'));
        }
      });
    });
    call.on('timeout', () => call.destroy());
    call.on('error', ({ code }: NodeJS.ErrnoException) =>
      resolve(Err(CONNECT_ERROR_CODES.has(code ?? '') ? 'unsent' : 'unanswered')),
    );
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
