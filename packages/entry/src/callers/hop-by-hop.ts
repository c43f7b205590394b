import type { IncomingHttpHeaders } from 'node:http';

/**
 * Headers that apply to one connection only (RFC 9110, section 7.6.1), and those that are set again
 * for each connection.
 */
const HOP_BY_HOP = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const listConnectionOptions = (headers: IncomingHttpHeaders): string[] =>
  (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase());

/** Copies all headers but the hop-by-hop ones and those named by the Connection header. */
export const copyEndToEndHeaders = (
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> => {
  const dropped = new Set([...HOP_BY_HOP, ...listConnectionOptions(headers)]);
  const kept = Object.entries(headers).filter(
    (entry): entry is [string, string | string[]] =>
      !dropped.has(entry[0]) && entry[1] !== undefined,
  );
  return Object.fromEntries(kept);
};
