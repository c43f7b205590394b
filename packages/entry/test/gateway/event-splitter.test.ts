import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventSplitter } from '../../src/gateway/endpoints/event-splitter.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: ü€\n\n';
/** Processor time for an event of the largest size, in microseconds; it takes under a tenth of that. */
const MAX_SEARCH_US = 2_000_000;

const IDS = ['1', '2', undefined, '3'];

/** Splits bytes into chunks of the given lengths, which are used repeatedly. */
const splitIntoChunks = (bytes: Buffer, lengths: readonly number[]): Buffer[] => {
  const chunks: Buffer[] = [];
  let from = 0;
  for (let count = 0; from < bytes.length; count += 1) {
    const length = lengths[count % lengths.length]!;
    chunks.push(bytes.subarray(from, from + length));
    from += length;
  }
  return chunks;
};

describe('EventSplitter', () => {
  it('finds the same events with the same bytes, however the stream is chunked', () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(lengths, (chunkLengths) => {
        const splitter = new EventSplitter();
        const events = splitIntoChunks(Buffer.from(STREAM), chunkLengths).flatMap((chunk) =>
          splitter.add(chunk),
        );
        expect(events.map(({ id }) => id)).toEqual(IDS);
        expect(Buffer.concat(events.map(({ bytes }) => bytes)).toString()).toBe(STREAM);
        expect(splitter.hasPartialEvent).toBe(false);
      }),
    );
  });

  it('does not return an event that the engine did not finish', () => {
    const splitter = new EventSplitter();
    expect(splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
    expect(splitter.hasPartialEvent).toBe(true);
  });

  it('reports an event that exceeds the size limit', () => {
    const splitter = new EventSplitter();
    expect(splitter.add(Buffer.alloc(262_145, 'x'))).toEqual([]);
    expect(splitter.isEventTooLong).toBe(true);
  });

  it.each([
    ['one byte', 1],
    ['100 bytes', 100],
  ])(
    'searches a long event once, although it arrives in chunks of %s',
    (_name, chunkBytes) => {
      const splitter = new EventSplitter();
      const chunk = Buffer.alloc(chunkBytes, 'x');
      const before = process.cpuUsage();
      while (!splitter.isEventTooLong && process.cpuUsage(before).user < MAX_SEARCH_US) {
        for (let count = 0; count < 500; count += 1) splitter.add(chunk);
      }
      expect(splitter.isEventTooLong).toBe(true);
    },
    20_000,
  );
});
