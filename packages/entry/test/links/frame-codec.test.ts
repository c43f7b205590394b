import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { LinkMessage } from '@savorywind/model';
import { FrameCodec } from '../../src/links/frame-codec.js';

const SEED = 4;

const createMessage = (requestId: string): LinkMessage => ({ kind: 'request.probe', requestId });

describe('FrameCodec', () => {
  it('decodes every sequence of messages that it encoded', () => {
    const message = fc.record({ kind: fc.constant('slot.ask'), part: fc.jsonValue() });
    const property = fc.property(fc.array(message, { maxLength: 20 }), (messages) => {
      const sender = new FrameCodec();
      const receiver = new FrameCodec();
      messages.forEach((original) => {
        const frame = sender.encode(original as unknown as LinkMessage);
        const expected = JSON.parse(JSON.stringify(original)) as unknown;
        expect(JSON.parse(JSON.stringify(receiver.decodeMessage(frame).unwrap()))).toEqual(
          expected,
        );
      });
    });
    fc.assert(property, { seed: SEED });
  });

  it('sends each property name only once', () => {
    const codec = new FrameCodec();
    const first = codec.encode(createMessage('a')).byteLength;
    const second = codec.encode(createMessage('b')).byteLength;
    expect(second).toBeLessThan(first - 'requestId'.length);
  });

  it('rejects frames of arbitrary bytes without throwing', () => {
    const property = fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      const codec = new FrameCodec();
      expect(codec.decodeHello(bytes).err).toBe(true);
      expect(codec.decodeMessage(bytes).err).toBe(true);
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
  });
});
