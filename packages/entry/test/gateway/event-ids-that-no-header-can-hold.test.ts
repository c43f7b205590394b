import { describe, expect, it } from 'vitest';
import { EventSplitter } from '../../src/gateway/endpoints/event-splitter.js';

const readId = (id: string): string | undefined =>
  new EventSplitter().add(Buffer.from(`id: ${id}\ndata: x\n\n`, 'latin1'))[0]?.id;

// Guards against an event id that, sent back in a header, throws and ends the process.
describe('the id of an event', () => {
  it('is read if a header can hold it', () => {
    expect(readId('12')).toBe('12');
    expect(readId('run 7/é')).toBe('run 7/é');
  });

  it.each(['\u0000', '1\u0001', 'a\u007f'])('is left out if it is %j', (id) => {
    expect(readId(id)).toBeUndefined();
  });

  it('is left out if it is empty or longer than a header may be', () => {
    expect(readId('')).toBeUndefined();
    expect(readId('1'.repeat(2_000))).toBeUndefined();
  });
});
