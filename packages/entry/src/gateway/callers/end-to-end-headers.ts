/** Headers that concern one connection only (RFC 9110, section 7.6.1), and the framing set anew. */
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

const listNamedByConnection = (rawHeaders: readonly string[]): string[] =>
  rawHeaders.flatMap((value, index) =>
    index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'connection'
      ? value.split(',').map((name) => name.trim().toLowerCase())
      : [],
  );

/**
 * Headers that travel from end to end, as name and value by turns, in their order and spelling.
 *
 * @example
 * listEndToEndHeaders(['Host', 'a', 'Connection', 'close'], () => true); // ['Host', 'a']
 */
export const listEndToEndHeaders = (
  rawHeaders: readonly string[],
  matches: (name: string) => boolean,
): string[] => {
  const named = new Set(listNamedByConnection(rawHeaders));
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!HOP_BY_HOP.has(name) && !named.has(name) && matches(name)) {
      kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return kept;
};
