import type { IncomingMessage } from 'node:http';

/** Largest body that is read to its end, in bytes. A rejection has a few hundred. */
const MAX_DROPPED_BYTES = 65_536;

/**
 * Longest time for which a body is read to its end, in milliseconds. A new connection takes less, so
 * waiting longer is of no use.
 */
const MAX_DROP_MS = 1_000;

/**
 * Reads a body to its end without keeping it, so that the connection can be reused. Closes the
 * connection if the body is too long or takes too long.
 */
export const dropBody = (response: IncomingMessage): void => {
  let droppedBytes = 0;
  const timer = setTimeout(() => response.destroy(), MAX_DROP_MS);
  response.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > MAX_DROPPED_BYTES) response.destroy();
  });
  // Nothing is lost with the rest of the body: the attempt has already ended.
  response.on('error', () => {});
  response.on('close', () => clearTimeout(timer));
};
