import { isUtf8 } from 'node:buffer';
import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS = new Set([0x5d, 0x7d]);

const isEscaped = (body: Buffer, index: number): boolean => {
  let first = index;
  while (first > 0 && body[first - 1] === BACKSLASH) first -= 1;
  return (index - first) % 2 === 1;
};

/**
 * Finds the index of a string's closing quote; the body's length if there is none.
 *
 * @param start index after the opening quote
 */
const findStringEnd = (body: Buffer, start: number): number => {
  let end = body.indexOf(QUOTE, start);
  while (end >= 0 && isEscaped(body, end)) end = body.indexOf(QUOTE, end + 1);
  return end < 0 ? body.length : end;
};

/**
 * Measures the nesting depth of objects and arrays without parsing the body. Stops at the first level
 * beyond the limit.
 *
 * @example
 * measureJsonDepth(Buffer.from('[{"a":[]}]'), 64); // 3
 */
export const measureJsonDepth = (body: Buffer, limit: number): number => {
  let depth = 0;
  let maxDepth = 0;
  for (let index = 0; index < body.length; index += 1) {
    const byte = body[index] ?? 0;
    if (byte === QUOTE) {
      index = findStringEnd(body, index + 1);
    } else if (OPENING_BRACKETS.has(byte)) {
      depth += 1;
      maxDepth = Math.max(maxDepth, depth);
      if (maxDepth > limit) return maxDepth;
    } else if (CLOSING_BRACKETS.has(byte)) {
      depth -= 1;
    }
  }
  return maxDepth;
};

/**
 * Parses a JSON body from an untrusted source.
 *
 * @example
 * const value = parseJsonBody(Buffer.from('{"model":"assistant"}'), 64);
 * if (value.err) sendRefusal(response, requestId, value.val);
 *
 * @returns Err if the body is not UTF-8, exceeds the nesting limit or is not valid JSON
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
