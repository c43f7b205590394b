import { isUtf8 } from 'node:buffer';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING = new Set([0x5b, 0x7b]);
const CLOSING = new Set([0x5d, 0x7d]);

const isEscaped = (body: Buffer, index: number): boolean => {
  let first = index;
  while (first > 0 && body[first - 1] === BACKSLASH) first -= 1;
  return (index - first) % 2 === 1;
};

/** Finds the quote that ends a string, given the index after its opening quote. */
const findStringEnd = (body: Buffer, start: number): number => {
  let end = body.indexOf(QUOTE, start);
  while (end >= 0 && isEscaped(body, end)) end = body.indexOf(QUOTE, end + 1);
  return end < 0 ? body.length : end;
};

/**
 * Measures how deep objects and arrays are nested, without parsing; stops at the first level beyond
 * the limit.
 *
 * @example
 * measureJsonDepth(Buffer.from('[{"a":[]}]'), 64); // 3
 */
export const measureJsonDepth = (body: Buffer, limit: number): number => {
  let depth = 0;
  let deepest = 0;
  for (let index = 0; index < body.length; index += 1) {
    const byte = body[index] ?? 0;
    if (byte === QUOTE) {
      index = findStringEnd(body, index + 1);
    } else if (OPENING.has(byte)) {
      depth += 1;
      deepest = Math.max(deepest, depth);
      if (deepest > limit) return deepest;
    } else if (CLOSING.has(byte)) {
      depth -= 1;
    }
  }
  return deepest;
};

/**
 * Parses a JSON body of unknown origin.
 *
 * @example
 * const value = parseJsonBody(Buffer.from('{"model":"assistant"}'), 64);
 * if (value.err) sendRefusal(response, requestId, value.val);
 *
 * @returns Err where the body is not UTF-8, is nested too deep or is not JSON
 */
export const parseJsonBody = (body: Buffer, maxDepth: number): Result<unknown, Refusal> => {
  if (!isUtf8(body)) return Err({ code: resultCodes.invalidUtf8, ran: 'no' });
  if (measureJsonDepth(body, maxDepth) > maxDepth) {
    return Err({ code: resultCodes.jsonTooDeep, ran: 'no', detail: `at most ${maxDepth} levels` });
  }
  try {
    return Ok(JSON.parse(body.toString('utf8')));
  } catch {
    return Err({ code: resultCodes.invalidJson, ran: 'no' });
  }
};
