import { Agent, request as sendRequest, type ClientRequest } from 'node:http';
import { CREDENTIAL, PROMPT } from './consts.js';
import type { Bench, EnginePace, Side } from './types.js';

export interface StreamListener {
  /** Called for each part of the answer that arrives. */
  onData?(part: Buffer): void;
}

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

const NEW_LINE = 0x0a;

let lastStream = 0;

const createBody = (side: Side, pace: EnginePace, tokens: number): string => {
  const messages = [{ role: 'user', content: PROMPT }];
  if (side === 'entry') {
    return JSON.stringify({ model: pace, stream: true, max_tokens: tokens, messages });
  }
  lastStream += 1;
  const request = JSON.stringify({ messages });
  return JSON.stringify({ streamId: `direct-${lastStream}`, maxOutputTokens: tokens, request });
};

/** Opens a streamed request on one side; resolves when its answer has ended. */
export const openStream = (
  bench: Bench,
  side: Side,
  pace: EnginePace,
  tokens: number,
  listener: StreamListener,
): { readonly ended: Promise<void>; readonly call: ClientRequest } => {
  const address = side === 'entry' ? bench.entry : bench.engines[pace];
  const body = createBody(side, pace, tokens);
  const call = sendRequest({
    ...address,
    agent,
    method: 'POST',
    path: side === 'entry' ? '/v1/chat/completions' : '/v1/streams',
    headers: {
      authorization: `Bearer ${CREDENTIAL}`,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    },
  });
  const ended = new Promise<void>((resolve, reject) => {
    call.on('error', reject);
    call.on('response', (response) => {
      if (response.statusCode !== 200) reject(new Error(`status ${response.statusCode}`));
      response.on('data', (part: Buffer) => listener.onData?.(part));
      response.on('error', reject);
      response.on('end', resolve);
    });
  });
  call.end(body);
  return { ended, call };
};

/** Counts the server-sent events in a part of an answer; an event ends with an empty line. */
export const countEvents = (part: Buffer): number => {
  let count = 0;
  let index = part.indexOf(NEW_LINE);
  while (index >= 0) {
    if (part[index + 1] === NEW_LINE) count += 1;
    index = part.indexOf(NEW_LINE, index + 2);
  }
  return count;
};
