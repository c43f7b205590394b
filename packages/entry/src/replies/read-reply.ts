import type { IncomingMessage } from 'node:http';
import { findResponseHeadFault } from '../http/find-response-head-fault.js';

/** Largest accepted reply of the platform or an engine, in bytes. */
const MAX_REPLY_BYTES = 16_777_216;

/** Longest time from sending a call to the end of its reply, in milliseconds. */
const MAX_CALL_MS = 10_000;

/**
 * Creates a signal that aborts a call after its total time limit. An idle timeout alone does not end
 * a call whose reply keeps arriving in small parts.
 */
export const createCallTimeoutSignal = (): AbortSignal => AbortSignal.timeout(MAX_CALL_MS);

/**
 * Reads a reply as UTF-8 text, up to a maximum size.
 *
 * @example
 * readReply(response, (text) => resolve(text === undefined ? Err('unanswered') : Ok(text)));
 *
 * @param onRead called with the text, or with undefined if the head of the reply is malformed, or the reply is
 *   too long or incomplete; its status means nothing then
 */
export const readReply = (
  response: IncomingMessage,
  onRead: (text: string | undefined) => void,
): void => {
  if (findResponseHeadFault(response) !== undefined) {
    response.destroy();
    onRead(undefined);
    return;
  }
  const parts: Buffer[] = [];
  let size = 0;
  response.on('data', (part: Buffer) => {
    size += part.length;
    if (size <= MAX_REPLY_BYTES) parts.push(part);
    else response.destroy(new Error('reply exceeds the size limit'));
  });
  response.on('error', () => onRead(undefined));
  response.on('end', () => onRead(Buffer.concat(parts).toString('utf8')));
};
