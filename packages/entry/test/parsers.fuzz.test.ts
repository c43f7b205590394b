import fc from 'fast-check';
import { PREFIX_BLOCK_TOKENS } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { parseTimeout } from '../src/callers/contracts.js';
import { measureJsonDepth, parseJsonBody } from '../src/callers/json-body.js';
import { parseChatBody } from '../src/callers/models/chat-body.js';
import { parseTextBody } from '../src/callers/models/text-body.js';
import { hashPrefixes, MAX_PREFIX_BLOCKS } from '../src/callers/prefix-digests.js';
import { BYTES_PER_TOKEN } from '../src/callers/estimate-prompt-tokens.js';
import { isUnambiguousPath, parseServicePath } from '../src/callers/services/service-path.js';
import { MAX_EVENT_CHARACTERS, SseParser } from '../src/endpoints/sse-parser.js';

const RUNS = { seed: 20_260_303, numRuns: 2_000 } as const;
const MAX_DEPTH = 64;
const MAX_TIMEOUT_MS = 3_600_000;

const countDepth = (value: unknown): number =>
  typeof value === 'object' && value !== null
    ? 1 + Math.max(0, ...Object.values(value).map(countDepth))
    : 0;

/** Objects with the fields of a request body and values of any type. */
const almostValidBody = fc.record(
  {
    model: fc.oneof(fc.string(), fc.jsonValue()),
    messages: fc.oneof(
      fc.array(fc.record({ role: fc.constantFrom('user', 'x'), content: fc.jsonValue() })),
      fc.jsonValue(),
    ),
    prompt: fc.oneof(fc.string(), fc.array(fc.nat()), fc.jsonValue()),
    stream: fc.jsonValue(),
    stream_options: fc.jsonValue(),
    max_tokens: fc.oneof(fc.integer(), fc.jsonValue()),
    n: fc.jsonValue(),
  },
  { requiredKeys: [] },
);

describe('parsers of untrusted input', () => {
  it('parseJsonBody returns the encoded value or a refusal', () => {
    const check = fc.property(fc.jsonValue({ maxDepth: 70 }), (value) => {
      const text = JSON.stringify(value);
      const parsed = parseJsonBody(Buffer.from(text), MAX_DEPTH);
      expect(parsed.ok).toBe(countDepth(value) <= MAX_DEPTH);
      if (parsed.ok) expect(parsed.val).toEqual(JSON.parse(text));
    });
    fc.assert(check, RUNS);
  });

  it('parseJsonBody refuses or parses arbitrary bytes and never throws', () => {
    const check = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const parsed = parseJsonBody(Buffer.from(bytes), MAX_DEPTH);
      if (parsed.err) expect([1001, 1009, 1010]).toContain(parsed.val.code.code);
    });
    fc.assert(check, RUNS);
  });

  it('measureJsonDepth equals the depth of the parsed value, whatever its strings contain', () => {
    const check = fc.property(fc.jsonValue({ maxDepth: 8, noUnicodeString: false }), (value) => {
      expect(measureJsonDepth(Buffer.from(JSON.stringify(value)), 1_000)).toBe(countDepth(value));
    });
    fc.assert(check, RUNS);
  });

  it.each([
    ['chat', parseChatBody],
    ['text', parseTextBody],
  ])('a %s body is refused or has positive integer sizes', (_name, parse) => {
    const check = fc.property(fc.oneof(almostValidBody, fc.jsonValue()), (value) => {
      const parsed = parse(value);
      if (parsed.err) {
        expect(parsed.val.ran).toBe('no');
        return;
      }
      const { promptTokens, maxOutputTokens = 1 } = parsed.val;
      expect(Number.isSafeInteger(promptTokens) && promptTokens > 0).toBe(true);
      expect(Number.isSafeInteger(maxOutputTokens) && maxOutputTokens > 0).toBe(true);
    });
    fc.assert(check, RUNS);
  });

  it('parseTimeout returns a timeout within the limit or a refusal', () => {
    const header = fc.oneof(fc.string(), fc.float().map(String), fc.integer().map(String));
    const check = fc.property(header, (text) => {
      const parsed = parseTimeout(text, 1_000, MAX_TIMEOUT_MS);
      if (parsed.err) return;
      expect(parsed.val).toBeGreaterThan(0);
      expect(parsed.val).toBeLessThanOrEqual(MAX_TIMEOUT_MS);
      expect(parsed.val).toBe(Math.ceil(Number(text) * 1_000));
    });
    fc.assert(check, RUNS);
  });

  it('isUnambiguousPath accepts only paths that URL parsers leave unchanged', () => {
    const segment = fc.constantFrom(
      'a',
      '.',
      '..',
      '%2e',
      '%2E.',
      '%2f',
      '\\',
      '%5C',
      '',
      ' ',
      'ä',
    );
    const check = fc.property(fc.array(segment, { minLength: 1, maxLength: 6 }), (segments) => {
      const url = `/services/booking/${segments.join('/')}`;
      const target = parseServicePath(url);
      if (target === undefined || !isUnambiguousPath(target)) return;
      expect(new URL(`http://x${target.path}`).pathname).toBe(target.path);
      expect(decodeURIComponent(target.path).split('/')).toHaveLength(
        target.path.split('/').length,
      );
    });
    fc.assert(check, RUNS);
  });

  it('SseParser returns the same events however the bytes are split into chunks', () => {
    const data = fc.string({ unit: 'grapheme' }).map((text) => JSON.stringify(text));
    const check = fc.property(fc.array(data), fc.integer({ min: 1, max: 9 }), (events, size) => {
      const bytes = Buffer.from(events.map((event) => `data: ${event}\n\n`).join(''));
      const received: string[] = [];
      const parser = new SseParser((event) => received.push(event));
      for (let start = 0; start < bytes.length; start += size) {
        parser.push(bytes.subarray(start, start + size));
      }
      expect(received).toEqual(events);
    });
    fc.assert(check, { ...RUNS, numRuns: 500 });
  });

  it('SseParser rejects an event that exceeds the size limit', () => {
    const parser = new SseParser(() => {});
    expect(parser.push(Buffer.alloc(MAX_EVENT_CHARACTERS, 'x'))).toBe(true);
    expect(parser.push(Buffer.from('x'))).toBe(false);
  });
});

describe('prefix digests', () => {
  const blockBytes = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN;

  it('are equal for exactly the leading blocks that two prompts share', () => {
    const check = fc.property(
      fc.integer({ min: 1, max: 5 * blockBytes }),
      fc.integer({ min: 0, max: 5 * blockBytes }),
      (length, changedIndex) => {
        const text = 'a'.repeat(length);
        const changed =
          changedIndex < length
            ? `${text.slice(0, changedIndex)}b${text.slice(changedIndex + 1)}`
            : text;
        const [first, second] = [hashPrefixes('m', [text]), hashPrefixes('m', [changed])];
        const completeBlocks = Math.floor(length / blockBytes);
        const sharedBlocks =
          changedIndex < length ? Math.floor(changedIndex / blockBytes) : completeBlocks;
        expect(first).toHaveLength(completeBlocks);
        first.forEach((digest, index) =>
          expect(digest === second[index]).toBe(index < sharedBlocks),
        );
      },
    );
    fc.assert(check, { ...RUNS, numRuns: 300 });
  });

  it('do not depend on how the prompt is split into parts, and are limited in number', () => {
    const text = 'é'.repeat(blockBytes * MAX_PREFIX_BLOCKS);
    const digests = hashPrefixes('m', [text]);
    expect(digests).toHaveLength(MAX_PREFIX_BLOCKS);
    expect(hashPrefixes('m', [text.slice(0, 999), text.slice(999)])).toEqual(digests);
    expect(hashPrefixes('other', [text])[0]).not.toBe(digests[0]);
  });
});
