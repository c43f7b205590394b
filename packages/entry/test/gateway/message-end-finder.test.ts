import { describe, expect, it } from 'vitest';
import { MessageEndFinder, type BodyLength } from '../../src/gateway/callers/message-end-finder.js';

const HEAD = 'GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n';

/** Divides bytes that arrive in pieces of one size; each head is followed by the next body length. */
const divide = (
  text: string,
  lengths: readonly BodyLength[],
  pieceBytes = text.length,
): string[] => {
  const finder = new MessageEndFinder();
  const parts = [''];
  const left = [...lengths];
  for (let start = 0; start < text.length; start += pieceBytes) {
    let piece = Buffer.from(text.slice(start, start + pieceBytes), 'latin1');
    while (piece.length > 0) {
      const count = finder.countToEnd(piece);
      parts.push(`${parts.pop()}${piece.toString('latin1', 0, count)}`);
      piece = piece.subarray(count);
      if (parts.at(-1)!.endsWith(HEAD)) finder.startBody(left.shift() ?? 0);
      if (piece.length > 0 || parts.at(-1)!.endsWith(HEAD)) parts.push('');
    }
  }
  return parts.filter((part) => part !== '');
};

describe('the ends of messages', () => {
  it.each<[string, readonly string[], readonly BodyLength[]]>([
    ['heads without a body', [HEAD, HEAD, HEAD], []],
    ['a body with a length, which may hold an empty line', [HEAD, 'a\r\n\r\nb', HEAD], [6]],
    ['a body in chunks', [HEAD, '5\r\n\r\n\r\n0\r\n0\r\n\r\n', HEAD], ['chunked']],
    ['chunks with extensions', [HEAD, '2;a=b\r\nhi\r\n0;c\r\n\r\n', HEAD], ['chunked']],
    [
      'chunks of hexadecimal sizes',
      [HEAD, `1A\r\n${'x'.repeat(26)}\r\n0\r\n\r\n`, HEAD],
      ['chunked'],
    ],
    ['trailers', [HEAD, '2\r\nhi\r\n000\r\nX-A: 1\r\nX-B: 2\r\n\r\n', HEAD], ['chunked']],
  ])('are found: %s', (_name, parts, lengths) => {
    expect(divide(parts.join(''), lengths)).toEqual(parts);
  });

  it('are found wherever heads are divided on their way', () => {
    for (let pieceBytes = 1; pieceBytes < 2 * HEAD.length; pieceBytes += 1) {
      expect(divide(HEAD.repeat(5), [], pieceBytes)).toEqual([HEAD, HEAD, HEAD, HEAD, HEAD]);
    }
  });

  it('may be guessed wrong before a head that follows empty lines', () => {
    expect(divide(`\r\n\r\n${HEAD}`, [])).toEqual(['\r\n\r\n', HEAD]);
  });

  it('do not depend on a size of a chunk that is no number: the parser refuses it', () => {
    expect(divide(`${HEAD}zz\r\nhi\r\n\r\n`, ['chunked'])).toEqual([HEAD, 'zz\r\nhi\r\n\r\n']);
  });

  it.each([
    ['chunks', '1\r\nx\r\n'],
    ['trailers', '0\r\nX-A: 1\r\n'],
  ])('may be counted in parts, of which each has 256 lines at most: %s', (_name, line) => {
    const finder = new MessageEndFinder();
    finder.startBody('chunked');
    const body = Buffer.from(line.repeat(1_000));
    expect(finder.countToEnd(body)).toBeLessThanOrEqual(256 * line.length);
  });
});
