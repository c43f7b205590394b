import { Agent, request as sendRequest, type ClientRequest } from 'node:http';
import { CREDENTIAL, PROMPT } from './consts.js';
import type { EngineProfile, Route, Testbed } from './types.js';

export interface StreamListener {
  /** Called for each received chunk of the response body. */
  onData?(chunk: Buffer): void;
}

const agent = new Agent({ keepAlive: true, maxSockets: Infinity });

const NEW_LINE = 0x0a;

let lastStreamNumber = 0;

const createBody = (route: Route, profile: EngineProfile, tokens: number): string => {
  const messages = [{ role: 'user', content: PROMPT }];
  if (route === 'entry') {
    return JSON.stringify({ model: profile, stream: true, max_tokens: tokens, messages });
  }
  lastStreamNumber += 1;
  const request = JSON.stringify({ messages });
  return JSON.stringify({
    streamId: `direct-${lastStreamNumber}`,
    maxOutputTokens: tokens,
    request,
  });
};

/**
 * Opens a streamed request on one route. `ended` resolves at the end of the response and rejects on
 * an error or a status other than 200.
 */
export const openStream = (
  testbed: Testbed,
  route: Route,
  profile: EngineProfile,
  tokens: number,
  listener: StreamListener,
): { readonly ended: Promise<void>; readonly clientRequest: ClientRequest } => {
  const address = route === 'entry' ? testbed.entry : testbed.engines[profile];
  const body = createBody(route, profile, tokens);
  const clientRequest = sendRequest({
    ...address,
    agent,
    method: 'POST',
    path: route === 'entry' ? '/v1/chat/completions' : '/v1/streams',
    headers: {
      authorization: `Bearer ${CREDENTIAL}`,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    },
  });
  const ended = new Promise<void>((resolve, reject) => {
    clientRequest.on('error', reject);
    clientRequest.on('response', (response) => {
      if (response.statusCode !== 200) reject(new Error(`status ${response.statusCode}`));
      response.on('data', (chunk: Buffer) => listener.onData?.(chunk));
      response.on('error', reject);
      response.on('end', resolve);
    });
  });
  clientRequest.end(body);
  return { ended, clientRequest };
};

/** Counts the server-sent events that end in a chunk; an event ends with an empty line. */
export const countEvents = (chunk: Buffer): number => {
  let count = 0;
  let index = chunk.indexOf(NEW_LINE);
  while (index >= 0) {
    if (chunk[index + 1] === NEW_LINE) count += 1;
    index = chunk.indexOf(NEW_LINE, index + 2);
  }
  return count;
};
