import { request as sendRequest } from 'node:http';
import { Err, Ok, type Result } from '@savorywind/model';

/** An answer of an entry VM's operators' interface. */
export interface EntryAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** `unsent`: the entry VM was not reached. `unanswered`: the call may have had an effect. */
export type ExchangeFailure = 'unsent' | 'unanswered';

export interface Exchange {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
}

/** Longest wait for an answer, in milliseconds; longer than an entry VM works on a change. */
const ANSWER_LIMIT_MS = 20_000;

/** Errors that come before a connection stands, so that no byte can have left. */
const CONNECT_FAULTS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** Sends one call to one entry VM. */
export const callEntryVm = (
  entry: URL,
  credential: string,
  { method, path, body }: Exchange,
): Promise<Result<EntryAnswer, ExchangeFailure>> =>
  new Promise((resolve) => {
    const headers = { authorization: `Bearer ${credential}`, 'content-type': 'application/json' };
    const options = { method, headers, timeout: ANSWER_LIMIT_MS };
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
      resolve(Err(CONNECT_FAULTS.has(code ?? '') ? 'unsent' : 'unanswered')),
    );
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
