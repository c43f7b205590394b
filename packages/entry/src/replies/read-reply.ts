import type { IncomingMessage } from 'node:http';

/** Longest reply of the platform or an engine that is kept, in bytes. */
const MAX_REPLY_BYTES = 16_777_216;

/** Longest time that a call may take until its reply is whole, in milliseconds. */
const CALL_LIMIT_MS = 10_000;

/** Ends a call whose reply trickles in for ever; an idle timeout alone does not. */
export const createCallLimit = (): AbortSignal => AbortSignal.timeout(CALL_LIMIT_MS);

/**
 * Reads a reply up to a size.
 *
 * @example
 * readReply(response, (text) => resolve(text === undefined ? Err('unanswered') : Ok(text)));
 *
 * @param done called with the text, or with undefined where the reply is too long or breaks off
 */
export const readReply = (
  response: IncomingMessage,
  done: (text: string | undefined) => void,
): void => {
  const parts: Buffer[] = [];
  let size = 0;
  response.on('data', (part: Buffer) => {
    size += part.length;
    if (size <= MAX_REPLY_BYTES) parts.push(part);
    else response.destroy(new Error('reply too long'));
  });
  response.on('error', () => done(undefined));
  response.on('end', () => done(Buffer.concat(parts).toString('utf8')));
};
