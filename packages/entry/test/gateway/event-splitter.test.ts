import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventSplitter } from '../../src/gateway/endpoints/event-splitter.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata: ü€\n\n';
const IDS = ['1', '2', undefined, '3'];

/** Cuts bytes into pieces of the given lengths, over and over. */
const cut = (bytes: Buffer, lengths: readonly number[]): Buffer[] => {
  const pieces: Buffer[] = [];
  let from = 0;
  for (let turn = 0; from < bytes.length; turn += 1) {
    const length = lengths[turn % lengths.length]!;
    pieces.push(bytes.subarray(from, from + length));
    from += length;
  }
  return pieces;
};

describe('the splitter of streams', () => {
  it('finds the same events with the same bytes, however the stream is cut', () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(lengths, (given) => {
        const splitter = new EventSplitter();
        const events = cut(Buffer.from(STREAM), given).flatMap((piece) => splitter.add(piece));
        expect(events.map(({ id }) => id)).toEqual(IDS);
        expect(Buffer.concat(events.map(({ bytes }) => bytes)).toString()).toBe(STREAM);
        expect(splitter.hasPartialEvent).toBe(false);
      }),
    );
  });

  it('holds back what an engine stopped in the middle of', () => {
    const splitter = new EventSplitter();
    expect(splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
    expect(splitter.hasPartialEvent).toBe(true);
  });

  it('says so where an event never ends', () => {
    const splitter = new EventSplitter();
    expect(splitter.add(Buffer.alloc(1_100_000, 'x'))).toEqual([]);
    expect(splitter.isEventTooLong).toBe(true);
  });
});
