/**
 * Hop-by-hop headers (RFC 9110, section 7.6.1), and framing headers, which the gateway sets itself
 * for each connection.
 */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const CONNECTION = 'connection';

/** Lists the headers that `Connection` names as hop-by-hop, in lower case. */
const listConnectionOptions = (rawHeaders: readonly string[]): string[] => {
  const options: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === CONNECTION)
      rawHeaders[index + 1]!.split(',').forEach((name) => options.push(name.trim().toLowerCase()));
  }
  return options;
};

/**
 * Lists the end-to-end headers that match, as alternating names and values. Order and spelling stay
 * unchanged.
 *
 * @param rawHeaders alternating names and values
 * @param matches called with the header name in lower case
 * @example
 * listEndToEndHeaders(['Host', 'a', 'Connection', 'close'], () => true); // ['Host', 'a']
 */
export const listEndToEndHeaders = (
  rawHeaders: readonly string[],
  matches: (name: string) => boolean,
): string[] => {
  const connectionOptions = new Set(listConnectionOptions(rawHeaders));
  const headers: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!HOP_BY_HOP.has(name) && !connectionOptions.has(name) && matches(name)) {
      headers.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return headers;
};
