import { Packr } from 'msgpackr';
import { expect, it } from 'vitest';
import {
  decodeTableFeedMessage,
  MAX_TABLE_FEED_BYTES,
} from '../../src/gateway/store/table-feed-messages.js';

const packr = new Packr({ useRecords: false });

/** Entries of one byte each that fit a frame. */
const ENTRIES = MAX_TABLE_FEED_BYTES - 1_024;

const WRONG = new Array<number>(ENTRIES).fill(0);

/** Memory that the refusal of one frame may take, in bytes: some times its size. */
const MAX_HEAP_BYTES = 100_000_000;

// The heap of an entry VM is limited to 192 MB; a description of each wrong entry takes hundreds of bytes.
it.each([
  ['positions', { kind: 'request', id: 1, positions: WRONG }],
  ['tables', { kind: 'response', id: 1, tables: WRONG }],
  [
    'rows',
    {
      kind: 'response',
      id: 1,
      tables: [{ table: 'a', kind: 'snapshot', version: 1, ageMs: 1, rows: WRONG }],
    },
  ],
])(
  'a frame of a peer whose %s are wrong in each byte is refused within the heap',
  (_kind, message) => {
    const frame = packr.pack(message);
    expect(frame.length).toBeLessThanOrEqual(MAX_TABLE_FEED_BYTES);
    const before = process.memoryUsage().heapUsed;
    const decoded = decodeTableFeedMessage(frame);
    const after = process.memoryUsage().heapUsed;
    expect(decoded.err).toBe(true);
    expect(after - before).toBeLessThan(MAX_HEAP_BYTES);
  },
  60_000,
);
